#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library: compiling them checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(glob.glob("lib-2/*.py") + glob.glob("[6-9]/*.py") + glob.glob("10/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
