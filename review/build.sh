#!/usr/bin/env bash
# Builds what the scripts start besides target/fireflythread-entry: the
# stand-ins, which are Python without further packages.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PY'
import ast, glob
for name in ["site_standin.py"] + sorted(glob.glob("*/case.py")):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
