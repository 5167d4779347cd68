#!/usr/bin/env bash
# Builds the program of each scripted case, stand-ins included, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Ireview/support "$source" -o "target/review/case-$number"
done
