#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start besides the system itself.
# They use the libraries under target/deps, which the deploy build puts there.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp, dotterelweir_platform'
python3 -m compileall -q review/standins-2
