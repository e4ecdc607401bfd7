#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without further packages: nothing is compiled.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' || {
  echo "python3 of Debian 12 (3.11) is needed"
  exit 2
}
for program in standin/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program" || exit 2
done
