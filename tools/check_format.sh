#!/usr/bin/env bash
# Fails when a C++ file differs from what clang-format 14 writes.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | xargs -r clang-format-14 --dry-run -Werror
echo "format: clean"
