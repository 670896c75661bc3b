#!/usr/bin/env bash
# Two outages of the store in a row, up to five times. TROUBLE=0: none.
exec "$(dirname "$0")/../world-3/run_case.sh" case_outage "$(dirname "$0")"
