#!/bin/sh
# Prepares what the cases 4 to 8 start. Their stand-ins are Python scripts, which need no build:
# this checks that the interpreter is recent enough and that it reads them.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py [4-8]/*.py <<'CHECK'
import ast, sys, tomllib
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
