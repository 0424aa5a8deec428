#!/bin/bash
# Runs clang-tidy over all sources that changed since they were last found clean.
# Needs build/compile_commands.json.
set -uo pipefail
cd "$(dirname "$0")/.."
cache="${XDG_CACHE_HOME:-$HOME/.cache}/zinniadoor-lint"
mkdir -p "$cache"
export cache

lint_one() {
  local file=$1 key
  key=$( { cat .clang-tidy "$file"; git ls-files 'include/*.hpp' 'tests/*.hpp' 'src/*.hpp' | sort | xargs cat; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if out=$(clang-tidy -p build --quiet "$file" 2>/dev/null); then
    touch "$cache/$key"
  else
    printf '%s\n' "$out"
    return 1
  fi
}
export -f lint_one

git ls-files 'src/*.cpp' 'tests/*.cpp' | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
