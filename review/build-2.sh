#!/bin/sh
# Checks that the stand-ins of the cases from 4 on can run. They are Python files that need the
# standard library only, so nothing has to be compiled.
cd "$(dirname "$0")" || exit 2
for file in stand_ins.py stand_engines.py [4-8]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
