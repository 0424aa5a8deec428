#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
