#!/bin/bash
# The stand-ins are Python programs that use the standard library only; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
