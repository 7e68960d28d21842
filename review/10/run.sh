#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 \
PYTHONPATH="$(cd ../.. && pwd)/target/deps:$(cd ../standins-2 && pwd)" \
    exec timeout -k 5 115 python3 case.py
