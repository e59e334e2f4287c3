#!/bin/sh
# Builds what the second review's cases start, beside the build of the deploy file. Their stand-ins are Python files that use
# the standard library alone, so there is nothing to compile: this checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in lib-2/world.py 6/case.py 6/bad_clients.py 7/case.py 8/case.py 9/case.py 10/case.py tried-2/pinned/case.py tried-2/gone/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
