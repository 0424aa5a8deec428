#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/standins-3/*_case.cpp; do
  g++ -O2 -std=c++17 -Wall -Wextra -o "build/review-3/$(basename "$source" .cpp)" "$source" -lpthread
done
