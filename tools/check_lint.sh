#!/usr/bin/env bash
# Runs clang-tidy 14 over the product's sources. Usage: check_lint.sh BUILD_FOLDER [FILE...]
# Results are kept in BUILD_FOLDER/lint by the content of a source and of the headers that it includes,
# as the last build recorded them, so that what did not change is not read twice. A source that was not
# built depends on all headers.
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
all_headers=$(git ls-files '*.h')
# One line a source: its path, a tab, the project's headers that it includes.
includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
ninja -C "$build" -t deps 2>/dev/null | awk -v root="$PWD/" '
  /^[^ ].*: #deps/ { if (source != "") print source "\t" headers; source = ""; headers = ""; next }
  /^    / {
    path = substr($0, 5)
    if (index(path, root) == 1) path = substr(path, length(root) + 1)
    else if (substr(path, 1, 3) == "../") path = substr(path, 4)
    else next
    if (source == "") source = path
    else if (path ~ /\.h$/) headers = headers " " path
  }
  END { if (source != "") print source "\t" headers }' >"$includes"
export build cache all_headers includes
lint_one() {
  local file=$1 headers key
  headers=$(awk -F'\t' -v file="$file" '$1 == file { print $2; found = 1; exit } END { if (!found) print "?" }' "$includes")
  [ "$headers" != "?" ] || headers=$all_headers
  # shellcheck disable=SC2086  # a list of paths without spaces
  key="$cache/$(cat "$file" .clang-tidy $headers | sha256sum | cut -c1-32)"
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
