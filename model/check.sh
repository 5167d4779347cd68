#!/usr/bin/env bash
# Checks each model with Spin, and that Spin rejects its broken variant: model/check.sh
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
failures=0

# verify NAME EXPECTED FLAGS...: EXPECTED is "holds" or "broken".
verify() {
  local name=$1 expected=$2
  shift 2
  local work=$out/$name-$expected-${RANDOM}
  mkdir -p "$work"
  (cd "$work" && spin "$@" -a "$here/$name.pml" >spin.log 2>&1 && gcc -O2 -DVECTORSZ=2048 -DNOREDUCE -w -o pan pan.c)
  (cd "$work" && timeout 300 ./pan -m1000000 $(grep -q '^ltl' "$here/$name.pml" && echo -a || true) -n >pan.log 2>&1) || true
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.log" | head -1)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log" | head -1)
  local result=broken
  [ "${errors:-1}" = 0 ] && ! grep -q "max search depth too small" "$work/pan.log" && result=holds
  local verdict=ok
  if [ "$result" != "$expected" ]; then
    verdict=FAILED
    failures=$((failures + 1))
    tail -n 20 "$work/pan.log" "$work/spin.log"
  fi
  echo "model $name ${*:-(as specified)}: $result, ${states:-?} states, expected $expected: $verdict"
}

verify claims holds
verify claims broken -DBROKEN
verify rules holds
verify rules broken -DBROKEN
verify receipts holds
verify receipts broken -DBROKEN
verify lease holds -DFENCING
verify lease broken -DFENCING -DBROKEN
verify lease holds
verify lease broken -DBROKEN
verify rollout holds
verify rollout broken -DBROKEN
verify replica holds
verify replica broken -DBROKEN
verify send holds
verify send broken -DBROKEN
exit "$failures"
