#!/usr/bin/env bash
# Which folder may include which: a library only those listed before it, nobody the stand-ins or the
# bench but tests, and decision and state libraries neither Asio, Beast nor Fiber.
set -uo pipefail
cd "$(dirname "$0")/.."
order=(base memory rules settings catalog upstreams replica telemetry runtime platform session receipts claims membership retries decision)
failed=0
for position in "${!order[@]}"; do
  library=${order[$position]}
  for later in "${order[@]:$((position + 1))}" kernel; do
    grep -rnE "#include <$later/" "libs/$library/include" "libs/$library/src" && { echo "libs/$library must not include $later"; failed=1; }
  done
done
for library in base memory rules settings catalog upstreams replica session receipts claims membership retries decision; do
  grep -rnE '#include <boost/(asio|beast|fiber)' "libs/$library/include" "libs/$library/src" && { echo "libs/$library must not include Asio, Beast or Fiber"; failed=1; }
done
grep -rnE '#include <boost/(asio|beast|fiber)' libs/*/include kernel/include && { echo "public headers must not include Asio, Beast or Fiber"; failed=1; }
grep -rnE '#include .*(Standin|CallerClient|LoadTool|CuttingRelay|FakeTable|BenchWorld)' libs/*/src libs/*/include kernel tools/basilnotch --include='*.h' --include='*.cpp' | grep -v '/tests/' && { echo "the product must not include stand-ins or the bench"; failed=1; }
# What the users' platform calls things is known to its adapter alone.
names='Attempt-Id|Server-Stamp|Not-Executed|Expect-Instance|Token-Counts|Prompt-Prefix|Length-Hint|Priority-Class|Server-Load|Kv-[A-Z]|rows-(tx|get|feed)|/api/(readyz|resolution)|route_kind|can_resume|api_keys'
git ls-files '*.cpp' '*.h' | grep -v '^platform/' | xargs grep -nE "$names" && { echo "names of the platform outside platform/"; failed=1; }
exit "$failed"
