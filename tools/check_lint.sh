#!/usr/bin/env bash
# Runs clang-tidy 14 over the product's sources. Usage: check_lint.sh BUILD_FOLDER [FILE...]
# Results are kept per file content in BUILD_FOLDER/lint, so that unchanged sources are not read twice.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: check_lint.sh BUILD_FOLDER [FILE...]}
shift
if [ "$#" -eq 0 ]; then
  mapfile -t files < <(git ls-files 'src/*.cc' 'apps/*.cc' 'platform/*.cc' 'standins/*.cc' 'bench/*.cc' 'demo/*.cc' 'examples/*.cc')
else
  files=("$@")
fi
cache="$build/lint"
mkdir -p "$cache"
headers=$(git ls-files '*.h' .clang-tidy | sort | xargs -r cat | sha256sum | cut -c1-16)
export build cache headers
lint_one() {
  local file=$1 key
  key="$cache/$(cat "$file" | sha256sum | cut -c1-16)-$headers"
  [ -e "$key" ] && return 0
  if clang-tidy-14 --quiet -p "$build" "$file" 2>/dev/null; then
    touch "$key"
  else
    echo "lint: $file has findings"
    return 1
  fi
}
export -f lint_one
printf '%s\0' "${files[@]}" | xargs -0 -r -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: clean"
