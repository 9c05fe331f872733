#!/usr/bin/env bash
# The stand-ins of the cases from 6 on are Python programs of the standard library alone; this
# checks that they compile. The gateway comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - review/lib2/*.py review/[6-9]/run.py review/seen-placement/run.py <<'End'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
End
[ -x target/bin/rattancart-gateway ] || echo "build the gateway as deploy/system.toml says" >&2
