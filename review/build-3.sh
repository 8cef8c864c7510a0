#!/usr/bin/env bash
# Prepares the stand-ins of the third review. They are Python programs that need only the standard library, so nothing is compiled; the
# programs under test come from the build of the deploy file. Fails if python3 is missing or a stand-in or a case cannot be read.
set -euo pipefail
cd "$(dirname "$0")"
for source in platform_3.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
