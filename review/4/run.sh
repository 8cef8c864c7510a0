#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the disruption.
set -euo pipefail
exec timeout --kill-after=5 118 python3 "$(dirname "$0")/scenario.py"
