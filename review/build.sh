#!/bin/sh
# Compiles the stand-ins of the review; they need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c '
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'
