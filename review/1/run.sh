#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' 2>/dev/null || { echo "could not run: no Python 3.9"; exit 2; }
exec python3 "$(dirname "$0")/case.py"
