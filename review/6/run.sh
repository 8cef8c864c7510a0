#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
status=0
python3 case.py || status=$?
case "$status" in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
