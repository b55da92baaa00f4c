#!/bin/sh
# Builds what the scripts of the cases start: their stand-ins and those of the
# project are Python modules, so they are only compiled and imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
import standins.platform_store
print('stand-ins are ready')
P
