#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/rig/rig.cpp -o target/review/rig.o
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/rig.o -o "target/review/case-$number"
done
