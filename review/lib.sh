# Shared by the review's scripts: a folder, a free range of ports, daemons as the deploy file starts them. Sourced.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
daemons=()
folder=""
port=0
stand=""

end() {
    for each in "${daemons[@]}"; do kill -KILL "$each" 2>/dev/null; done
    [ -z "$folder" ] || rm -rf "$folder"
}

is_used() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

begin() { # STAND-IN PORTS
    stand=target/review/$1
    [ -x target/cranberrygated ] && [ -x "$stand" ] || { echo "build first: deploy file, review/build.sh"; exit 2; }
    folder=$(mktemp -d) || exit 2
    trap end EXIT
    port=$((21600 + RANDOM % 18 * 400)) # The project's own tests use ports below.
    for _ in $(seq 40); do
        local used=0
        for ((each = port; each < port + $2; each++)); do
            if is_used "$each"; then used=1 && break; fi
        done
        [ "$used" = 1 ] || return 0
        port=$((21600 + (port - 21600 + 400) % 7200))
    done
    exit 2
}

# Bounds of anshs-dakar; a script may set those of another deployment.
configuration_bound=2000 drain=2000 repeat_slack=52

# Settings as deploy/settings.template gives them.
start_daemon() { # NUMBER STORE_PORT
    local first=$((port + 20 * $1))
    cat >"$folder/settings-$1.json" <<SETTINGS
{"instance": "front-$1", "failureDomain": "zone-$1", "callerAddress": "127.0.0.1:$first",
 "readinessAddress": "127.0.0.1:$((first + 1))", "entryAddress": "127.0.0.1:$((first + 2))",
 "peerAddress": "127.0.0.1:$((first + 3))", "metricsPort": $((first + 4)), "dutyAddress": "127.0.0.1:$2",
 "firstStart": true, "cores": 0.25, "revokeBoundMs": 5000, "configurationBoundMs": $configuration_bound, "drainMs": $drain,
 "leaseMs": 3000, "stopGraceSeconds": 8, "usageWindowSeconds": 5, "usageDueSeconds": 10, "repeatRatio": 0.2,
 "repeatSlack": $repeat_slack, "repeatWindowSeconds": 10, "quotaOver": 0.1, "quotaSlack": 190000,
 "storeAddress": "127.0.0.1:$2"}
SETTINGS
    # A front machine has 4,100 descriptors.
    (ulimit -n 4100 && CRANBERRYGATE_BOOT="$folder/settings-$1.json" exec target/cranberrygated) \
        >"$folder/daemon-$1.log" 2>&1 &
    daemons+=($!)
    disown
}

run_stand() { # ARGUMENTS...
    ulimit -n 8192 2>/dev/null || true
    "$stand" "$@"
    exit $?
}
