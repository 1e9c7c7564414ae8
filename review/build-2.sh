#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python modules without dependencies; the entries are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib-2
PYTHONPATH=review/lib-2 python3 -c 'import deployment'
