# Processes of the scripts: start them, wait for them, and end each one that was started.
# Source this file from the root of the repository; it sets $drumbay and $work.

drumbay=(.venv/bin/python -m drumbay)
work=$(mktemp -d)
process_ids=()
process_names=()

end_processes() {
    local status=$?
    for process_id in "${process_ids[@]}"; do
        kill -TERM "$process_id" 2>/dev/null || true
    done
    for index in "${!process_ids[@]}"; do
        await_end "${process_ids[$index]}" "${process_names[$index]}" || status=1
    done
    if [ "$status" -ne 0 ]; then
        tail -n 5 "$work"/*.log >&2
    fi
    rm -rf "$work"
    exit "$status"
}
trap end_processes EXIT

await_end() { # process id, name
    for _ in $(seq 150); do
        kill -0 "$1" 2>/dev/null || return 0
        sleep 0.1
    done
    echo "$2 did not end:" >&2
    kill -KILL "$1"
    return 1
}

start() { # name, arguments of drumbay ...
    local name=$1
    shift
    "${drumbay[@]}" "$@" >"$work/$name.log" 2>&1 &
    process_ids+=($!)
    process_names+=("$name")
}

await_url() { # url
    for _ in $(seq 300); do
        if curl --silent --fail --output /dev/null --max-time 1 "$1"; then
            return 0
        fi
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}
