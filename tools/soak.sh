#!/usr/bin/env bash
# The fault soak: tools/soak.sh BUILD-FOLDER FIRST-SEED RUNS [JOBS]
# Prints one line a seed; plans, broken promises and logs of failed seeds stay in target/soak/SEED.
set -uo pipefail
build=$1
first=$2
runs=$3
jobs=${4:-2}
here=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$here/target/soak"

play() {
  local seed=$1
  local folder="$here/target/soak/$seed"
  mkdir -p "$folder"
  if SOAK_SEED=$seed SOAK_LOGS=$folder \
    timeout 180 "$build/platform/test_soak" "[soak]" >"$folder/output" 2>&1; then
    grep '^seed.*calls' "$folder/output"
    rm -r "$folder"
  else
    echo "seed $seed: BROKEN, see target/soak/$seed"
    grep '^  [a-z]' "$folder/output" | head -n 5
    return 1
  fi
}
export -f play
export build here
seq "$first" $((first + runs - 1)) | xargs -P "$jobs" -I{} bash -c 'play {}'
