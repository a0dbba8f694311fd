#!/bin/sh
# Checks what the scripts of the cases 6 to 10 start: their stand-ins are Python programs of the standard library.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for program in lib-2/standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program"
done
