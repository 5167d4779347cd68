#!/usr/bin/env bash
# Format, names and layers: tools/lint.sh BUILD-FOLDER
set -uo pipefail
build=$1
here=$(cd "$(dirname "$0")/.." && pwd)
cd "$here"
failed=0
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror || failed=1
bash tools/check_layers.sh || failed=1
found=$(git ls-files '*.cpp' | grep -v -E '/tests/|^tests/' \
  | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null | grep -E 'warning:|error:')
if [ -n "$found" ]; then
  echo "$found"
  failed=1
fi
exit "$failed"
