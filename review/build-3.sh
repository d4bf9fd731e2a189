#!/usr/bin/env bash
# Builds the stand-ins of the third review: Python sources, checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins_3.py 1[1-5]/case.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
        print("checked", name)
PY
