#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases below target/review/. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review/common "$source" -o "target/review/case-$number"
done
