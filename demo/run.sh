#!/usr/bin/env bash
# Start both deployments as separate processes on loopback, drive them, check them against
# the emulators' execution logs, and end every process that was started.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh

write_settings() { # name, region, base port, node number, zone
    cat >"$work/$1-node-$4.toml" <<TOML
node_id = "$1-$4"
zone = "$5"
region = "$2"
data_folder = "$work/$1-data-$4"

[http]
host = "127.0.0.1"
port = $(($3 + $4))

[peers]
host = "127.0.0.1"
port = $(($3 + 10 + $4))
cluster_key_file = "cluster.key"
seeds = ["127.0.0.1:$(($3 + 11))", "127.0.0.1:$(($3 + 12))", "127.0.0.1:$(($3 + 13))"]

[key_value]
urls = ["http://127.0.0.1:$(($3 + 20))"]

[weight_store]
url = "http://127.0.0.1:$(($3 + 30))"

[machine_list]
url = "http://127.0.0.1:$(($3 + 50))/v1/machines"
TOML
}

start_deployment() { # name, region, base port, model, engine name, engines, application name, zones ...
    local name=$1 region=$2 base=$3 model=$4 engine=$5 engines=$6 application=$7
    shift 7
    local zones=("$@")
    start "$name-key-value" standin key-value --port $((base + 20))
    start "$name-weight-store" standin weight-store --model "$model" --port $((base + 30))
    start "$name-machine-list" standin machine-list --port $((base + 50))
    for number in $(seq "$engines"); do
        start "$engine-$number" standin engine --name "$engine-$number" --model "$model" \
            --seed "$number" --port $((base + 100 + number)) --load-seconds 0.5 \
            --weight-store "http://127.0.0.1:$((base + 30))"
    done
    for number in 1 2 3; do
        start "$application-$number" standin application --name "$application-$number" \
            --port $((base + 200 + number))
    done
    for number in 1 2 3; do
        write_settings "$name" "$region" "$base" "$number" "${zones[$((number - 1))]}"
        start "$name-node-$number" node --settings "$work/$name-node-$number.toml"
    done
}

prepare_deployment() { # name, base port, model
    for number in 1 2 3; do
        await_url "http://127.0.0.1:$(($2 + number))/readyz"
    done
    "${drumbay[@]}" apply -f "demo/$1.yaml" --server "http://127.0.0.1:$(($2 + 1))"
    start "$1-trainer" standin trainer --model "$3" --stream "$3" --port $(($2 + 40)) \
        --node "http://127.0.0.1:$(($2 + 1))" --node "http://127.0.0.1:$(($2 + 2))" \
        --weight-store "http://127.0.0.1:$(($2 + 30))" --steps 2 --samples-per-step 24 \
        --step-seconds 2
    await_url "http://127.0.0.1:$(($2 + 40))/healthz"
}

accept_deployment() { # name, base port, model, process id of node 3
    "${drumbay[@]}" acceptance --model "$3" --stream "$3" \
        --trainer "http://127.0.0.1:$(($2 + 40))" \
        --node "http://127.0.0.1:$(($2 + 1))" --node "http://127.0.0.1:$(($2 + 2))" \
        --node "http://127.0.0.1:$(($2 + 3))" --stop-process "$4" | tee "$work/$1-summary"
    "${drumbay[@]}" explain request "$(sed -n 's/^example: //p' "$work/$1-summary")" \
        --server "http://127.0.0.1:$(($2 + 1))"
}

head -c 32 /dev/urandom | base64 >"$work/cluster.key"

start_deployment bitacora-andina lima 21000 callsign-matcher modelos 5 consulta \
    miraflores surquillo callao
lima_node=${process_ids[-1]}
start puntaje-1 standin scoring --name puntaje-1 --port 21251
start_deployment vakhandel-oost nl-oost 22000 advies advies-llm 6 balie-app \
    zwolle-hal deventer-hal apeldoorn-hal
oost_node=${process_ids[-1]}

prepare_deployment bitacora-andina 21000 callsign-matcher
prepare_deployment vakhandel-oost 22000 advies

echo "== Bitácora Andina"
accept_deployment bitacora-andina 21000 callsign-matcher "$lima_node"
echo "== Vakhandel Oost"
accept_deployment vakhandel-oost 22000 advies "$oost_node"
echo "demo passed"
