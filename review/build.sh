#!/bin/sh
# Checks that the stand-ins of the scripts can be started. They are Python files and need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or later is needed"; exit 1; }
for file in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
