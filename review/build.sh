#!/bin/bash
# Prepares the cases. The stand-ins are scripts that need no more than Python's standard library, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"

for file in *.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
