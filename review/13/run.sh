#!/usr/bin/env bash
# Empty runners are added to a queue with advice. TROUBLE=0: none are added.
exec "$(dirname "$0")/../world-3/run_case.sh" case_advice "$(dirname "$0")"
