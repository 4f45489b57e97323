#!/bin/sh
# Prepares the stand-ins of the second review's cases (6 to 10). They are Python of the standard library alone, so this
# only checks that they can be read; the program itself comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
for file in common-2/*.py [0-9]*/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 2
done
