#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python modules that use the standard library alone, so there is nothing to compile;
# this checks that the interpreter accepts them and that the programs of the deploy file were built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/deployment_2.py review/*/case.py <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
for role in balancer agent control; do
    [ -x "target/jjq-platform-$role" ] || {
        echo "build-2: target/jjq-platform-$role is missing; run the build of deploy/system.toml first" >&2
        exit 1
    }
done
