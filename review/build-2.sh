#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 (review/standins-2) are Python programs without
# dependencies; nothing has to be compiled. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
for file in *.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
