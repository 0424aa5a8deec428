#!/bin/bash
# Runs clang-tidy over the sources that changed, themselves or in a header they use, since they
# were last found clean. Needs a finished build in build/.
set -uo pipefail
cd "$(dirname "$0")/.."
cache="${XDG_CACHE_HOME:-$HOME/.cache}/zinniadoor-lint"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$cache"
export cache work

# One line per source: the source, then the project's headers that it uses.
ninja -C build -t deps 2>/dev/null | awk -v root="$PWD/" '
  /^[^ ].*: #deps/ { if (line != "") print line; line = ""; next }
  /^    / { file = $1; sub(/^(\.\.\/)+/, "", file)
            if (index(file, root) == 1) file = substr(file, length(root) + 1)
            if (file ~ /^(include|src|platform|tests|bench)\//) line = line " " file }
  END { if (line != "") print line }' | sort -u >"$work/deps"

lint_one() {
  local file=$1 used key out
  used=$(grep -F -m1 " $file" "$work/deps" | tr ' ' '\n' | sort -u | grep . || echo "$file")
  key=$(cat .clang-tidy $used 2>/dev/null | sha256sum | cut -d' ' -f1)-$(basename "$file")
  [ -e "$cache/$key" ] && return 0
  if out=$(clang-tidy -p build --quiet "$file" 2>/dev/null); then
    touch "$cache/$key"
  else
    printf '%s\n' "$out"
    return 1
  fi
}
export -f lint_one

git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
