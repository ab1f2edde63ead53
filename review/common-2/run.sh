# Runs case $1 (its number), which writes review/$1/record.txt. Exit codes: 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. With TROUBLE=0 without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
for program in target/platform/primroseweir-platform "target/review/case-$1"; do
  if [ ! -x "$program" ]; then
    echo "could not run: $program is missing; build as deploy/system.toml says, then review/build-2.sh"
    exit 2
  fi
done
"target/review/case-$1" "review/$1/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
