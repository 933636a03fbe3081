#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9, which use the standard library of
# Python alone. The project's own program is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q -f rig.py 6 7 8 9
