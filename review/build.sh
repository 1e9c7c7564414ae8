#!/usr/bin/env bash
# The scripts' stand-ins are Python modules, which need no build. Checks that
# they compile, and that the packages of the deploy file's build are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
for path in [*pathlib.Path('review').rglob('*.py'),
             pathlib.Path('standins/platform_store.py')]:
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
CHECK
test -d target/deps
