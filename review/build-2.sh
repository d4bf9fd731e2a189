#!/bin/sh
# Builds the stand-ins that the scripts of cases 7 to 9 start. They are plain
# Python without dependencies, so that building is a check of the sources.
set -e
cd "$(dirname "$0")/.."
for file in review/world_2.py review/7/check.py review/8/check.py review/9/check.py; do
    if [ -f "$file" ]; then
        python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
    fi
done
