#!/usr/bin/env bash
# Runs the benches and plots their results. Usage: run.sh BUILD_FOLDER [BENCH...]
# Tables, JSON and SVG go to BUILD_FOLDER/bench-results. Each bench is bounded in time and load.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: run.sh BUILD_FOLDER [BENCH...]}
shift
results="$build/bench-results"
mkdir -p "$results"
echo "version=$(git describe --always --dirty) machine=$(uname -m) cores=$(nproc)" | tee "$results/machine.txt"

wanted() {
  local bench
  [ "$#" -eq 1 ] && return 0
  for bench in "${@:2}"; do [ "$bench" = "$1" ] && return 0; done
  return 1
}

if wanted choice "$@"; then
  "$build/bench/choice/choice_bench" --output "$results" | tee "$results/choice.txt"
  gnuplot -e "data='$results/choice.dat'; target='$results/choice.svg'" bench/plots/choice.gnuplot
fi
for bench in routing configuration peer site; do
  program="$build/bench/$bench/${bench}_bench"
  if [ -x "$program" ] && wanted "$bench" "$@"; then
    "$program" --output "$results" | tee "$results/$bench.txt"
  fi
done
echo "results: $results"
