#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review (review/6 to review/10) into target/review-2. Needs a C++20
# compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  g++ -std=c++20 -O2 -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
