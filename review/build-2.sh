#!/usr/bin/env bash
# Prepares the stand-ins of the cases review/6 to review/10. They are Python programs that use the standard library only
# (python3 is one of the packages in scripts/install-packages), so nothing is compiled: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [0-9]*/case.py <<'CHECK'
import sys
if sys.version_info < (3, 9):
    sys.exit("python3 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("the stand-ins can be read:", *sys.argv[1:])
CHECK
