#!/bin/bash
# Prepares the cases. The stand-ins are Python scripts, so nothing is compiled; this checks that they and the programs of the deploy file are usable.
set -euo pipefail
cd "$(dirname "$0")/.."

python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "review/build.sh: Python 3.11 or later is required" >&2
    exit 1
}
for file in review/*.py review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
for program in target/jjq-platform-balancer target/jjq-platform-agent target/jjq-platform-control; do
    if [[ ! -x $program ]]; then
        echo "review/build.sh: $program does not exist; build deploy/system.toml first" >&2
        exit 1
    fi
done
