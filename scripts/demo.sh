#!/usr/bin/env bash
# Installs, builds and runs the main job on the stand-ins: 6 gateways and 6 schedulers serve requests and
# jobs while a failure domain leaves and returns and operators race. The last line is one JSON object.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
exec build/bin/scenario-runner --verbose --programs build/bin --directory "${TMPDIR:-/tmp}/almondpulley-demo" \
    scenarios/demo.json
