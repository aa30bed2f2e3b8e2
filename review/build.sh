#!/bin/sh
# The stand-ins of the scripts are Python and need no build: checks that they and
# the cases compile, and that the libraries of the deploy file are there.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
for file in review/lib/*.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], "rb").read())' "$file" || exit 2
done
