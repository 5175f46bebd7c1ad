#!/bin/sh
# Builds what the scripts start: the stand-ins are Python programs without dependencies, so
# they are only compiled to find errors. The project's program comes from the deploy file.
set -e
cd "$(dirname "$0")"
for file in standin/standin.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
