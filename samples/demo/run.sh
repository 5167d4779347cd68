#!/usr/bin/env bash
# The main job from the caller's question for an address to the bill, as separate processes on
# loopback: run.sh BUILD-FOLDER [BASE-PORT]
set -euo pipefail
build=$1
base=${2:-17100}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
product=$build/tools/basilnotch/basilnotch
standins=$build/tools/standins/basilnotch-standins
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }

start "$standins" platform --listen 127.0.0.1:"$base"
start "$standins" engine --listen 127.0.0.1:$((base + 1)) --loaded planner-small@v3 --fencing --platform 127.0.0.1:"$base"
start "$standins" engine --listen 127.0.0.1:$((base + 2)) --loaded planner-small@v3 --fencing --platform 127.0.0.1:"$base"
start "$standins" engine --listen 127.0.0.1:$((base + 3)) --loaded planner-large@v7 --fencing --platform 127.0.0.1:"$base"
start "$standins" service --listen 127.0.0.1:$((base + 4))
start "$standins" service --listen 127.0.0.1:$((base + 5))
start "$standins" service --listen 127.0.0.1:$((base + 6))
domains=(a b c)
for number in 1 2 3; do
  bash "$here/settings.sh" "entry$number" "${domains[$((number - 1))]}" "$number" 3 "$base" >"$work/entry$number.json"
  start "$product" serve --settings "$work/entry$number.json"
done

export BASILNOTCH_INSTANCES=127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13))
export BASILNOTCH_KEY=demo-operator-key
for attempt in $(seq 1 50); do
  if "$product" rules status >/dev/null 2>&1; then break; fi
  sleep 0.2
done
sleep 1.5 # The instances find each other.
"$product" rules check "$here/rules.txt"
"$product" rules apply "$here/rules.txt" --base 0
"$product" rules fetch "$work/fetched.txt"
cmp "$here/rules.txt" "$work/fetched.txt"
sleep 1.5 # One planning round under the new rules.
"$product" explain --workspace recife --task answer --stream
if ! "$standins" load --name demo --entries "$BASILNOTCH_INSTANCES" --platform 127.0.0.1:"$base" --key demo-key; then
  tail -n 40 "$work/log" >&2
  exit 1
fi
