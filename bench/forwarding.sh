#!/usr/bin/env bash
# Start 3 nodes and the emulators they need on loopback, measure what a node adds to a
# request (drumbay bench forwarding), and end every process that was started.
# Usage: [CHUNK_TOKENS=16] bench/forwarding.sh [arguments of drumbay bench forwarding]
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh

base=${BASE_PORT:-23000}
engines=11

write_settings() { # node number
    cat >"$work/node-$1.toml" <<TOML
node_id = "node-$1"
zone = "zone-$1"
region = "bench"
data_folder = "$work/data-$1"
[http]
host = "127.0.0.1"
port = $((base + $1))
[peers]
host = "127.0.0.1"
port = $((base + 10 + $1))
cluster_key_file = "cluster.key"
seeds = ["127.0.0.1:$((base + 11))", "127.0.0.1:$((base + 12))", "127.0.0.1:$((base + 13))"]
[key_value]
urls = ["http://127.0.0.1:$((base + 20))"]
TOML
}

write_resources() {
    cat <<YAML
kind: BackendGroup
name: loaded
backend_kind: engine
model: loaded
labels: {pool: loaded}
backends:
  - {id: engine-1, url: "http://127.0.0.1:$((base + 101))", zone: zone-1}
---
kind: BackendGroup
name: idle
backend_kind: engine
model: idle
labels: {pool: idle}
backends:
YAML
    for number in $(seq 2 "$engines"); do
        echo "  - {id: engine-$number, url: \"http://127.0.0.1:$((base + 100 + number))\", zone: zone-2}"
    done
    cat <<YAML
---
kind: BackendGroup
name: application
backend_kind: application
labels: {pool: application}
backends:
  - {id: application-1, url: "http://127.0.0.1:$((base + 201))", zone: zone-1}
---
kind: Route
name: live
route_kind: live
model: loaded
selector: {match_labels: {pool: loaded}}
max_rate_per_second: 100000
max_concurrency: 256
---
kind: Route
name: application
route_kind: application
path_prefix: /
selector: {match_labels: {pool: application}}
max_rate_per_second: 100000
max_concurrency: 256
YAML
}

head -c 32 /dev/urandom | base64 >"$work/cluster.key"
start key-value standin key-value --port $((base + 20))
start application-1 standin application --name application-1 --port $((base + 201)) \
    --service-seconds 0.001 --max-running 64
application_process=${process_ids[-1]}
start engine-1 standin engine --name engine-1 --model loaded --port $((base + 101)) \
    --step-seconds 0.002 --sequence-seconds 0.0001 --chunk-tokens "${CHUNK_TOKENS:-16}"
engine_process=${process_ids[-1]}
for number in $(seq 2 "$engines"); do
    start "engine-$number" standin engine --name "engine-$number" --model idle \
        --port $((base + 100 + number))
done
node_processes=()
for number in 1 2 3; do
    write_settings "$number"
    start "node-$number" node --settings "$work/node-$number.toml"
    node_processes+=(--node-process "${process_ids[-1]}")
done
for number in 1 2 3; do
    await_url "http://127.0.0.1:$((base + number))/readyz"
done
write_resources >"$work/resources.yaml"
"${drumbay[@]}" apply -f "$work/resources.yaml" --server "http://127.0.0.1:$((base + 1))" >&2
sleep "${SETTLE_SECONDS:-8}"

"${drumbay[@]}" bench forwarding --node "http://127.0.0.1:$((base + 1))" \
    "${node_processes[@]}" --model loaded \
    --application "http://127.0.0.1:$((base + 201))" --application-process "$application_process" \
    --engine "http://127.0.0.1:$((base + 101))" --engine-process "$engine_process" "$@"
