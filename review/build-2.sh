#!/bin/sh
# Builds the programs of cases 6 to 10 into build-review-2/, after the deploy file's build. Each holds all stand-ins
# that its case starts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -I review/common-2 -o "build-review-2/case-$name" "$source" -pthread
done
