#!/usr/bin/env bash
# Checks the format and the linter's rules; prints every finding.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror "${files[@]}"
# clang 14 needs to be told that the compiler has coroutines. The C++17 target can't take that flag.
mapfile -t sources < <(git ls-files '*.cpp' | grep -v websocket_endpoint)
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build -quiet -warnings-as-errors='*' \
    -extra-arg=-D__cpp_impl_coroutine=201902L -extra-arg=-fcoroutines-ts \
    -extra-arg=-Wno-unknown-warning-option 2> >(grep -v 'warnings generated' >&2)
clang-tidy -p build -quiet -warnings-as-errors='*' src/wire/websocket_endpoint.cpp 2> >(grep -v 'warnings generated' >&2)
echo "format and linter: clean"
