# One real process with little memory and few descriptors before stand-ins, and an ordinary client beside it. Sourced by
# tests of what clients or servers may take; needs scripts/lib.sh.

memory_mb=48
descriptors=500
body_bytes=$((1 << 20))
store=127.0.0.1:21000
daemon_store="" # Where the process looks for it, if elsewhere.
configuration_edit="" # Python statements on the configuration c.
more_settings="" # Of the process, each with a comma behind it.
preload=() # Words before the command of the process.

expect() { # WHAT GOT WANTED
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: got '$2', wanted '$3'"
        tail -n 5 "$run_dir"/*.out | cut -c1-300
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

with_limits() { # BINARY SETTINGS
    sed 's/^{/{"memoryMb":'$memory_mb',"maxDescriptors":'$descriptors','"$more_settings"'/' <<<"$2" >"$run_dir/settings.json"
    ulimit -Sn "$descriptors"
    start daemon ${preload[@]+"${preload[@]}"} "$build/$1" --settings "$run_dir/settings.json"
    ulimit -Sn "$(ulimit -Hn)"
}

start_gateway() {
    touch "$run_dir/deployment.log"
    start deployment "$build/standin-deployment" --listen "$store" --name deployment --log "$run_dir/deployment.log"
    python3 -c "import json, sys; c = json.load(open(sys.argv[1])); c['Limits'].update(MaxBodyBytes=$body_bytes, HeaderTimeoutMs=10000)
$configuration_edit
json.dump(c, open(sys.argv[2], 'w'))" "$root/examples/platform/configuration.json" "$run_dir/configuration.json"
    wait_for "the stand-in" curl -sf -X POST --data-binary "@$run_dir/configuration.json" "http://$store/configure"
    with_limits cranberrygated '{"instance":"entry-1","failureDomain":"zone-0","callerAddress":"127.0.0.1:21101",
 "readinessAddress":"127.0.0.1:21201","entryAddress":"127.0.0.1:21301","peerAddress":"127.0.0.1:21401",
 "metricsPort":21501,"storeAddress":"'${daemon_store:-$store}'","dutyAddress":"'$store'","usageWindowSeconds":1}'
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
    if [ -z "${pids[deployment]:-}" ]; then
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
