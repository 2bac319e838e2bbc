#!/bin/sh
# Prepares what the scripts under review/ start beside the programs of the deploy file: Python stand-ins, which need no
# compiler. Checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
test -x target/bin/lovage-gateway || { echo "target/bin/lovage-gateway is missing: run the build of deploy/system.toml first"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib:tests/platform python3 -c 'import deployment, world, gateway'
