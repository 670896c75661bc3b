#!/usr/bin/env bash
exec bash "$(dirname "$0")/../world-2/run.sh" "$(dirname "$0")"
