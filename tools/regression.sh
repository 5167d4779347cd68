#!/usr/bin/env bash
# Plays the standard days of one site on the users' bench and compares them with the committed figures:
#   tools/regression.sh BENCH-PROGRAM SITE-FILE
# Figures stand in docs/regression.tsv: site, mean worth of the days with trouble, spread of such a mean.
set -uo pipefail
bench=$1
site=$2
here=$(cd "$(dirname "$0")/.." && pwd)
cd "$here"
name=$(basename "$site" .toml)
report=$(mktemp)
trap 'rm -f "$report"' EXIT
"$bench" score "$site" --why "regression run" | tee "$report"
mean=$(awk '$1 ~ /^(trouble|scale)-/ && $2 ~ /\// { sum += $4; n++ } END { if (n) printf "%.4f", sum / n }' "$report")
if [ -z "$mean" ]; then
  echo "regression: no day of $name was played" >&2
  exit 2
fi
known=$(awk -F'\t' -v site="$name" '$1 == site { print $2 "\t" $3 }' docs/regression.tsv)
echo "regression: $name mean worth $mean, committed (mean, spread): ${known:-none}"
grep -q '^GATE failed' "$report" && { echo "regression: the gate failed"; exit 1; }
[ -z "$known" ] && exit 0
awk -v now="$mean" -v known="$known" 'BEGIN { split(known, k, "\t"); exit now < k[1] - k[2] ? 1 : 0 }' \
  || { echo "regression: below the committed figure by more than the spread"; exit 1; }
