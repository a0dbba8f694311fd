#!/usr/bin/env bash
# Measures every slope of docs/CAPACITY.md and writes the page anew. Run it on an idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in placement config routing; do
    "build/bin/${name}_bench" --benchmark_format=json --benchmark_min_time=0.2 2>/dev/null |
        python3 -c 'import json, sys; print(json.dumps({"benchmarks": json.load(sys.stdin)["benchmarks"]}, indent=1))' \
            >"bench/results/${name}.json"
done
for rate in 500 1000 2000; do
    build/bin/scenario-runner --programs build/bin --directory "${TMPDIR:-/tmp}/almondpulley-steady" \
        --first-port 26000 --costs "bench/results/steady_${rate}.json" "bench/steady_${rate}.json" | tail -n 1
done
python3 bench/capacity.py bench/results >docs/CAPACITY.md
