#!/bin/bash
# Builds the stand-ins that the cases start. They are Python programs without dependencies, so it is
# enough that they compile. The controllers are built by the command of deploy/service.toml.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is needed"; exit 1; }
for file in standin.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins ready"
