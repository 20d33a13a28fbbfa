#!/usr/bin/env bash
# Guards against clients that end a process, or keep it from others: a small crowd at one address of a real process with
# little memory and few descriptors. Judged by the process's memory, descriptors and life, and by whether an ordinary
# request is answered beside the crowd and after it. Usage: crowd_test.sh DOOR KIND
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"

door=$1
kind=$2
memory_mb=48
descriptors=500
file_descriptors=200 # Of them; the others are for sockets.
body_bytes=$((1 << 20))
store=127.0.0.1:21000

count=100
bytes=$body_bytes
path=/order/1
case $kind in
trailers | extensions | zeros | announced) bytes=$((2 * body_bytes)) ;;
idle) count=800 ;;
headers) count=400 bytes=7800 ;;
pipelined) path=/nowhere/1 ;;
esac

expect() { # WHAT GOT WANTED
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: got '$2', wanted '$3'"
        tail -n 5 "$run_dir"/crowd.out "$run_dir"/daemon.out | cut -c1-300
        exit 1
    fi
    echo "ok: $1"
}

wait_for() { # WHAT COMMAND...
    for _ in $(seq 200); do
        "${@:2}" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "FAILED: $1 did not come about"
    tail -n 5 "$run_dir"/*.out | cut -c1-300
    exit 1
}

# A build that does not know these settings has no bound to be lowered.
with_limits() { # BINARY SETTINGS
    sed 's/^{/{"memoryMb":'$memory_mb',"maxDescriptors":'$descriptors',/' <<<"$2" >"$run_dir/settings.json"
    "$build/$1" --settings "$run_dir/settings.json" --check >/dev/null 2>&1 || echo "$2" >"$run_dir/settings.json"
    ulimit -Sn "$descriptors"
    start daemon "$build/$1" --settings "$run_dir/settings.json"
    ulimit -Sn "$(ulimit -Hn)"
}

start_gateway() {
    touch "$run_dir/deployment.log"
    start deployment "$build/standin-deployment" --listen "$store" --name deployment --log "$run_dir/deployment.log"
    sed "s/\"MaxBodyBytes\": [0-9]*/\"MaxBodyBytes\": $body_bytes/; s/\"HeaderTimeoutMs\": [0-9]*/\"HeaderTimeoutMs\": 10000/" \
        "$root/examples/platform/configuration.json" >"$run_dir/configuration.json"
    wait_for "the stand-in" curl -sf -X POST --data-binary "@$run_dir/configuration.json" "http://$store/configure"
    curl -sf -X POST "http://$store/fault?name=answerBytes&value=$([ "$kind" = unread ] && echo $body_bytes || echo 0)"
    with_limits cranberrygated '{"instance":"entry-1","failureDomain":"zone-0","callerAddress":"127.0.0.1:21101",
 "readinessAddress":"127.0.0.1:21201","entryAddress":"127.0.0.1:21301","peerAddress":"127.0.0.1:21401",
 "metricsPort":21501,"storeAddress":"'$store'","dutyAddress":"'$store'","usageWindowSeconds":1}'
    wait_for "the daemon" curl -sf "http://127.0.0.1:21201/ready"
}

start_own_daemon() {
    start_endpoint platform platform 17400
    for i in 1 2 3 4; do start_endpoint plainservice "portal-$i" $((17599 + i)); done
    for i in 1 2; do start_endpoint engine "redactor-$i" $((17499 + i)); done
    sleep 0.3
    with_limits cranberryd "$(sed 's/^{/{"maxBodyBytes": '$body_bytes',/; /"peers"/,/\]/d; s/\(platformAddress.*\),/\1/' \
        "$root/examples/normativa-clara/daemon-1.json")"
    wait_for "the daemon" curl -sf -o /dev/null http://127.0.0.1:17200/healthz
    "$build/cranberryctl" --daemon 127.0.0.1:17200 apply "$root/examples/normativa-clara.json" >"$run_dir/apply.out"
    wait_ready 17200
}

ordinary_status() { # ID [CURL OPTIONS...]: of one try
    if [ "$door" = own ]; then
        curl -s -m 5 -o /dev/null -w '%{http_code}' -H "X-Organisation: diputacion" -X POST "${@:2}" \
            http://127.0.0.1:17100/v1/services/portal/x || true
    else
        curl -s -m 5 -o /dev/null -w '%{http_code}' -H "Host: desk.example" -H "X-Request-Id: $1" \
            -H "Authorization: Bearer key-a" -H "X-Deadline-Ms: 12000" -H "Expect:" -X POST "${@:2}" http://127.0.0.1:21101/lookup/1 || true
    fi
}

# An ordinary client tries a few times.
ordinary() { # NAME [CURL OPTIONS...]
    for try in 1 2 3 4 5; do
        status=$(ordinary_status "$1-$try" "${@:2}")
        [ "$status" != 200 ] || break
        sleep 0.5
    done
    echo "$status"
}

begin_run
case $door in
callers) port=21101 ;;
entry) port=21301 ;;
peers) port=21401 ;;
readiness) port=21201 ;;
own) port=17100 path=/v1/services/portal/x ;;
*) echo "unknown door $door" >&2 && exit 2 ;;
esac
if [ "$door" = own ]; then start_own_daemon; else start_gateway; fi
pid=${pids[daemon]}
head -c "$body_bytes" /dev/zero >"$run_dir/largest"

start crowd python3 "$root/tests/crowd.py" "$kind" --port "$port" --pid "$pid" --count "$count" --bytes "$bytes" \
    --path "$path" --stop "$run_dir/stop"
wait_for "the crowd" grep -qE "^held|ended" "$run_dir/crowd.out"
beside=$(ordinary beside -d x)
touch "$run_dir/stop"
wait_for "the end of the crowd" grep -qE "^peak_kb|ended" "$run_dir/crowd.out"
after=$(ordinary after -d x)
largest=$(ordinary largest --data-binary "@$run_dir/largest")
cat "$run_dir/crowd.out"

peak() { sed -n "s/.*peak_$1=\([0-9]*\).*/\1/p" "$run_dir/crowd.out"; }
expect "the process lives" "$(kill -0 "$pid" 2>/dev/null && echo lives)" lives
expect "memory of at most $memory_mb MB ($(peak kb) KB)" "$(($(peak kb) <= memory_mb * 1024))" 1
expect "sockets leave $file_descriptors of $descriptors descriptors ($(peak descriptors) open)" \
    "$(($(peak descriptors) <= descriptors - file_descriptors))" 1
expect "an ordinary request beside the crowd" "$beside" 200
expect "an ordinary request after it" "$after" 200
expect "one of the largest size after it" "$largest" 200
