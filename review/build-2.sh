#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the build of the deploy
# file. Needs no network, and no package that the deploy file does not list.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rig=target/review-2/rig.o
g++ -std=c++20 -O1 -Wall -Wextra -c review/rig-2/rig.cpp -o "$rig"
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra "$source" "$rig" -o "target/review-2/case-$number" -pthread
done
