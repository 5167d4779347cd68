#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -pthread -Ireview/support-2 -o "target/review-2/$name" "$source"
done
