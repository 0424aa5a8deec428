#!/bin/bash
# Searches every model of spec/runs in full and demands no error; then demands an error of every
# mutant of spec/mutants. Prints states stored and seconds; exits 0 only if all is as demanded.
set -uo pipefail
cd "$(dirname "$0")/../spec"
export SPEC=$PWD
export MEMORY_MB=1500
export DEPTH=1000000
export PAN_SECONDS=120
WORK=$(mktemp -d)
export WORK
trap 'rm -rf "$WORK"' EXIT

# search <name> <optimisation> <model> <defines...>: leaves pan's report in $WORK/<name>/report
search() {
  local folder=$WORK/$1 level=$2 model=$3
  shift 3
  mkdir "$folder" && cp "$SPEC"/*.pml "$SPEC"/*.h "$folder" && cd "$folder" || return 1
  spin -a "$@" "$model.pml" >build.log 2>&1 || { cat build.log; return 1; }
  gcc "$level" -w -DSAFETY -DCOLLAPSE -DNOREDUCE -DMEMLIM="$MEMORY_MB" -o pan pan.c >>build.log 2>&1 \
    || { head -20 build.log; return 1; }
  timeout "$PAN_SECONDS" ./pan -m"$DEPTH" -c1 >report 2>&1
}

checkModel() {
  local name="model_${1// /_}" line=$1
  read -r model defines <<<"$line"
  search "$name" -O2 "$model" ${defines:+-D$defines}
  local report=$WORK/$name/report
  local states seconds
  states=$(awk '/states, stored/ { print $1; exit }' "$report" 2>/dev/null)
  seconds=$(awk '/elapsed time/ { print $4; exit }' "$report" 2>/dev/null)
  if grep -q "errors: 0" "$report" 2>/dev/null \
    && ! grep -qE "max search depth too small|out of memory|Search not completed|interrupted" "$report"; then
    echo "PASS model $line: $states states, $seconds s"
    return 0
  fi
  echo "FAIL model $line: ${states:-no} states, ${seconds:-no} s;" \
    "$(grep -hE "^pan:|errors:|depth too small|out of memory|not completed" "$report" 2>/dev/null | tr '\n' ';')"
  return 1
}

checkMutant() {
  local model mutant property
  read -r model mutant property <<<"$1"
  local name="mutant_${model}_${mutant}_$property"
  search "$name" -O0 "$model" "-DMUTANT_$mutant" -DONLY "-DONLY_$property"
  local report=$WORK/$name/report
  if grep -q "errors: 1" "$report" 2>/dev/null && grep -q "^pan:1: assertion violated" "$report"; then
    echo "PASS mutant $1 is rejected"
    return 0
  fi
  echo "FAIL mutant $1 is not rejected"
  return 1
}

export -f search checkModel checkMutant
failed=0
xargs -d '\n' -P 2 -I{} bash -c 'checkModel "{}"' <runs | sort || failed=1
xargs -d '\n' -P 2 -I{} bash -c 'checkMutant "{}"' <mutants | sort || failed=1
echo "$(wc -l <runs) models, $(wc -l <mutants) mutants, failed: $failed"
exit $failed
