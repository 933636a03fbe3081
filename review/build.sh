#!/usr/bin/env bash
# Builds what the scripts start: the stand-ins are Python files that need the
# standard library only. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in (pathlib.Path("fleet.py"), *pathlib.Path().glob("[1-5]/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
