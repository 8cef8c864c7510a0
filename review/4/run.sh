#!/bin/bash
# Writes what was sent, answered and run to record.txt in this folder. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without the disruption.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
record=$folder/record.txt
: > "$record"
PYTHONDONTWRITEBYTECODE=1 exec timeout --kill-after=5 118 python3 "$folder/scenario.py" "$record"
