#!/bin/bash
# Case 6; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/slowread ] && [ -x target/tools/basilnotch/basilnotch ] || exit 2
REVIEW_ROOT=$PWD exec timeout -k 5 100 target/review-2/slowread "$folder"
