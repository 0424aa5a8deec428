#!/bin/bash
# Installs, builds, starts stand-ins and three daemons on loopback, publishes a configuration,
# sends a streamed request and shows the answer and what was charged.
# --keep leaves everything running and prints the addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=no
[ "${1:-}" = "--keep" ] && keep=yes

scripts/packages.sh
echo "building ..."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build >/dev/null
work=$(mktemp -d)
pids=()
cleanup() {
  [ $keep = yes ] && return
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# start <name> <program> <arguments...>: runs it in the background, output in $work/<name>.out
start() {
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}
# value <name> <label>: waits for the line "<label> <value>" of a started program
value() {
  local i
  for i in $(seq 200); do
    sed -n "s/^$2 //p" "$work/$1.out" | grep . && return
    sleep 0.05
  done
  echo "$1 did not start:" >&2; cat "$work/$1.log" >&2; return 1
}

standins=build/tests/standins
ctl=build/src/zinniadoor/ctl/zinniadoorctl
start platform $standins/standin_platform --port 0
start engine-a $standins/standin_engine --port 0 --id engine-a
start engine-b $standins/standin_engine --port 0 --id engine-b
start service $standins/standin_service --port 0 --id renewals
platform=http://127.0.0.1:$(value platform port)
engine_a=127.0.0.1:$(value engine-a port)
engine_b=127.0.0.1:$(value engine-b port)
service=127.0.0.1:$(value service port)

operator=$($ctl keygen --out "$work/ama.key")
cat >"$work/bundle.yaml" <<Y
version: 1
predecessor: ""
signatures_needed: 1
usage_window: 5s
operators:
  - {id: ama, public_key: $operator}
organisations:
  - {id: feathercraft, rate_per_second: 50, burst: 100}
models:
  - {id: parrot-small, version: "1"}
endpoints:
  - {id: engine-a, kind: engine, data_centre: accra-1, address: "$engine_a", models: [parrot-small]}
  - {id: engine-b, kind: engine, data_centre: accra-2, address: "$engine_b", models: [parrot-small]}
  - {id: renewals, kind: service, data_centre: accra-1, address: "$service"}
routes:
  - {id: renewals, prefix: /renewals, endpoints: [renewals], idempotent: false}
objectives:
  - {route: chat, first_byte: 1100ms, target: 0.95}
Y
key=$($ctl key issue --bundle "$work/bundle.yaml" --org feathercraft)
$ctl bundle sign --bundle "$work/bundle.yaml" --operator ama --key "$work/ama.key" >"$work/ama.sig"
$ctl bundle publish --bundle "$work/bundle.yaml" --signature "$work/ama.sig" --platform "$platform"

free_port() { # a port nothing listens on, below the range the system hands out
  local port
  while port=$((20000 + RANDOM % 10000)); do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || { echo $port; return; }
  done
}
ports=("$(free_port)" "$(free_port)" "$(free_port)")
for i in 0 1 2; do
  cat >"$work/daemon-$i.yaml" <<Y
instance: {id: entry-$i, data_centre: accra-$((i + 1))}
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:${ports[$i]}", admin: "127.0.0.1:0"}
peers:
  - {id: entry-0, data_centre: accra-1, address: "127.0.0.1:${ports[0]}"}
  - {id: entry-1, data_centre: accra-2, address: "127.0.0.1:${ports[1]}"}
  - {id: entry-2, data_centre: accra-3, address: "127.0.0.1:${ports[2]}"}
platform: {url: "$platform"}
Y
  start "daemon-$i" build/src/zinniadoor/daemon/zinniadoord --config "$work/daemon-$i.yaml"
done
for i in 0 1 2; do
  callers[$i]=http://127.0.0.1:$(value "daemon-$i" "listen callers")
  admin[$i]=http://127.0.0.1:$(value "daemon-$i" "listen admin")
done
for i in 0 1 2; do
  for _ in $(seq 200); do curl -sf "${admin[$i]}/readyz" >/dev/null && break; sleep 0.05; done
done

body='{"model": "parrot-small", "stream": true, "max_tokens": 8,
  "messages": [{"role": "user", "content": "Is a bell a safe toy for a grey parrot?"}]}'
echo "asking ${callers[0]} ..."
# Share slots are claimed in the first seconds; until then a request may be refused with Retry-After.
for _ in $(seq 60); do
  status=$(curl -s -N -o "$work/answer" -w '%{http_code}' "${callers[0]}/v1/chat/completions" \
    -H "Authorization: Bearer $key" -d "$body")
  [ "$status" = 200 ] && break
  sleep 0.5
done
cat "$work/answer"
[ "$status" = 200 ]
grep -q '^data: \[DONE\]' "$work/answer"

echo "waiting for the usage report of the first window ..."
for _ in $(seq 100); do
  curl -s "$platform/received" | tr -d '\n ' | grep -o '"organisation":"feathercraft"[^}]*' >"$work/charged" && break
  sleep 0.2
done
echo "charged: $(head -1 "$work/charged")"
if [ $keep = yes ]; then
  echo "callers: ${callers[*]}"
  echo "admin: ${admin[*]}"
  echo "platform: $platform  key: $key  files: $work"
  echo "to stop: kill ${pids[*]}"
fi
