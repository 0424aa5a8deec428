#!/bin/bash
# Builds the stand-ins of the scripts in review/N/ into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for source in standins/*.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -Wno-psabi -pthread -o "target/$(basename "$source" .cpp)" "$source"
done
