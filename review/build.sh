#!/usr/bin/env bash
# Builds what the scripts need beside the build of the deploy file. The stand-ins are Python files
# that need nothing but the standard library, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py [1-9]/*.py <<'CHECK'
import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)
CHECK
