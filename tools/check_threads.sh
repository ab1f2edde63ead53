#!/usr/bin/env bash
# Builds the tests of the concurrent modules with ThreadSanitizer and runs them.
# Usage: check_threads.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: check_threads.sh BUILD_FOLDER}/tsan
modules=(base upstream limits routing keys)
mkdir -p "$build"
cmake -S . -B "$build" -G Ninja -DPRIMROSEWEIR_THREAD_SANITIZER=ON >"$build/configure.log"
targets=()
for module in "${modules[@]}"; do
  compgen -G "tests/$module/*_test.cc" >/dev/null && targets+=("${module}_test")
done
cmake --build "$build" --target "${targets[@]}" | tail -1
for target in "${targets[@]}"; do
  TSAN_OPTIONS="halt_on_error=1" "$build/$target" "~[slow]" 2>"$build/$target.log" |
    tail -2 | head -1 || { tail -40 "$build/$target.log"; exit 1; }
done
echo "threads: clean"
