#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
record=$PWD/record.txt
: >"$record"
export PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=8 110 python3 case.py "$record" &
case_pid=$!
trap 'kill -TERM "$case_pid"' TERM INT HUP
status=0
wait "$case_pid" || status=$?
# After a signal to this script the case may still be ending its processes.
while kill -0 "$case_pid" 2>/dev/null; do
    wait "$case_pid" || status=$?
done
case "$status" in
0) exit 0 ;;
10) exit 1 ;; # the interpreter itself exits with 1 after an error
*) exit 2 ;;
esac
