#!/usr/bin/env bash
# Start a small fleet on loopback, ask real requests, and end what was started.
#
# Settings, logs and data go into a temporary folder. Programs are taken from BIN,
# by default the repository's .venv, else the PATH. With STAY=1 the fleet stays up
# until Ctrl-C.
set -euo pipefail

demo=$(cd "$(dirname "$0")" && pwd)
bin=${BIN:-$demo/../.venv/bin}
if [ -d "$bin" ]; then
    PATH=$(cd "$bin" && pwd):$PATH
fi
work=$(mktemp -d)
caller_key=loft-key
operator_key=kata-key
pids=()

# End exactly what was started, callers' side first, each by its process id
end_all() {
    trap - EXIT INT TERM
    local index
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        kill -TERM "${pids[index]}" 2>/dev/null || true
        wait "${pids[index]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 130' INT TERM

say() { printf '\n== %s\n' "$*"; }

# start NAME PROGRAM ARGUMENT... runs a program in the background
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

# read_port FILE prints the port once it is written
read_port() {
    local tries=0
    until [ -s "$work/$1" ]; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            printf 'no %s after 30 s; the last log lines:\n' "$1" >&2
            tail -n 5 "$work"/*.log >&2
            return 1
        fi
        sleep 0.1
    done
    cat "$work/$1"
}

find_free_port() {
    python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

hash_key() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# fill TEMPLATE FILE NAME=VALUE... writes a template with its @NAME@s filled in
fill() {
    local template=$1 file=$2 pair
    local -a script=()
    shift 2
    for pair in "$@"; do
        script+=(-e "s|@${pair%%=*}@|${pair#*=}|g")
    done
    sed "${script[@]}" "$demo/$template" >"$work/$file"
}

# ask TARGET CURL-ARGUMENT... calls the entry host as a caller
ask() {
    local target=$1
    shift
    curl --silent --show-error --max-time 60 --no-buffer \
        -H "authorization: Bearer $caller_key" \
        "http://127.0.0.1:$entry_port$target" "$@"
}

# ask_until_served TARGET CURL-ARGUMENT... repeats a call until it is answered
ask_until_served() {
    local tries=0
    until ask "$@" --fail >/dev/null 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 100 ]; then
            ask "$@" >&2
            return 1
        fi
        sleep 0.2
    done
}

say "Targets: a weight store, two engines and a plain service (stand-ins)"
start store ibishead-standin store --port-file "$work/store.port"
store_port=$(read_port store.port)
for engine in engine-0 engine-1; do
    start "$engine" ibishead-standin engine --name "$engine" --slots 2 \
        --store "127.0.0.1:$store_port" --token-time 0.02 --port-file "$work/$engine.port"
done
start plain-0 ibishead-standin plain --name raktar --port-file "$work/plain-0.port"

say "The system: three control replicas, an agent beside each target, an entry host"
ports=("$(find_free_port)" "$(find_free_port)" "$(find_free_port)")
replicas=127.0.0.1:${ports[0]},127.0.0.1:${ports[1]},127.0.0.1:${ports[2]}
domains=(szeged-a szolnok-b kecskemet-c)
for n in 0 1 2; do
    # sed reads \n in a replacement as a line break
    fill control.ini "control-$n.ini" "NAME=control-$n" "DOMAIN=${domains[n]}" \
        "PORT=${ports[n]}" "ADMIN_KEY=$(hash_key "$operator_key")" \
        "PEERS=control-0 = 127.0.0.1:${ports[0]}\ncontrol-1 = 127.0.0.1:${ports[1]}\ncontrol-2 = 127.0.0.1:${ports[2]}"
    start "control-$n" ibishead-control "$work/control-$n.ini"
done
for engine in engine-0 engine-1; do
    fill agent-engine.ini "agent-$engine.ini" "NAME=agent-$engine" DOMAIN=szeged-a \
        "TARGET=$engine" SERVICE=mester SLOTS=2 BATCH=8 "REPLICAS=$replicas" \
        "TARGET_PORT=$(read_port "$engine.port")"
    start "agent-$engine" ibishead-agent "$work/agent-$engine.ini"
done
fill agent-plain.ini agent-plain-0.ini NAME=agent-plain-0 DOMAIN=szolnok-b \
    TARGET=plain-0 SERVICE=raktar BATCH=8 "REPLICAS=$replicas" \
    "TARGET_PORT=$(read_port plain-0.port)"
start agent-plain-0 ibishead-agent "$work/agent-plain-0.ini"
fill entry.ini entry-0.ini NAME=entry-0 DOMAIN=szeged-a HTTP_PORT=0 "REPLICAS=$replicas"
start entry-0 ibishead-entry "$work/entry-0.ini"
entry_port=$(read_port entry-0.http.port)

say "Two service documents, checked and submitted"
printf '%s\n' "$operator_key" >"$work/operator.key"
IBISHEAD_CONTROL=
for n in 0 1 2; do
    IBISHEAD_CONTROL+="127.0.0.1:$(read_port "control-$n.operators.port") "
done
export IBISHEAD_CONTROL IBISHEAD_KEY_FILE=$work/operator.key
for service in mester raktar; do
    fill "$service.ini" "$service.document.ini" "CALLER_KEY=$(hash_key "$caller_key")" \
        "OPERATOR_KEY=$(hash_key "$operator_key")"
    ibishead check "$work/$service.document.ini"
    ibishead submit "$work/$service.document.ini" --base 0
done
ibishead targets

chat() {
    printf '{"model": "mester/%s", "max_tokens": 4, "stream": %s, "messages": [{"role": "user", "content": "Mend the torn %s"}]}' "$1" "$2" "$3"
}
json='content-type: application/json'

ask_until_served /v1/chat/completions -H "$json" -d "$(chat tisza@v1 false net)"
say "A repair plan by adapter tisza, version v2: its tokens name what made them"
ask /v1/chat/completions -H "$json" -d "$(chat tisza@v2 false trawl)" --include
printf '\n'

say "The same, streamed, by adapter balaton in the version that the document names"
ask /v1/chat/completions -H "$json" -d "$(chat balaton true seine)"

say "A stock issue, which may run only once; sent twice under one key"
for _ in 1 2; do
    ask '/services/raktar/issue?loft=szeged' -H "$json" -H 'idempotency-key: issue-1' \
        -d '{"twine": 2}'
    printf '\n'
done
executions=$(curl --silent "http://127.0.0.1:$(read_port plain-0.port)/standin/ledger" |
    python3 -c 'import json, sys; print(json.load(sys.stdin)["executions_by_key"]["issue-1"])')
printf 'The service ran it %s time(s).\n' "$executions"
[ "$executions" = 1 ]

say "Sixty calls at once over three adapters, each answer compared word by word"
ibishead-standin load --entry "127.0.0.1:$entry_port" --key "$caller_key" \
    --service mester --adapter tisza@v2 --adapter balaton@v1 --adapter alfold@v1 \
    --count 60 --rate 30 --plain-service raktar --plain-share 0.2 >"$work/load.json"
python3 -c 'import json, sys
load = json.load(open(sys.argv[1]))
print(load["sent"], "calls:", load["verdicts"], "in", load["seconds"], "s")
sys.exit(load["verdicts"] != {"whole": load["sent"]})' "$work/load.json"

if [ "${STAY:-}" = 1 ]; then
    say "Callers: http://127.0.0.1:$entry_port, key $caller_key; Ctrl-C ends the fleet"
    while sleep 1; do :; done
fi
say "Done"
