# Shared by the scripts: installing, building, and starting what a run needs. Sourced, not run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$root/build
packages="g++ cmake ninja-build pkg-config curl clang-format clang-tidy libboost1.81-dev libboost-json1.81-dev \
libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc libpopt-dev libfmt-dev doctest-dev libxxhash-dev libssl-dev python3"

install_packages() {
    local missing=""
    for package in $packages; do
        dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
    done
    [ -z "$missing" ] && return 0
    local sudo=""
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing >/dev/null
}

build_all() {
    cmake -S "$root" -B "$build" -G Ninja >/dev/null
    ninja -C "$build" --quiet
}

# A run's processes by id; each is ended by its id and by nothing else.
declare -A pids
run_dir=""

# One run at a time on a machine: the ports are fixed. A second one waits.
begin_run() {
    exec 9>"${TMPDIR:-/tmp}/cranberrygate-run.lock"
    flock -w 300 9 || { echo "another run holds the ports" >&2; return 1; }
    run_dir=$(mktemp -d)
    trap end_run EXIT
    set -E
    trap 'report_failure "$BASH_COMMAND"' ERR
}

# Says which command ended a run and what the processes printed: most commands fail without a word.
report_failure() { # COMMAND
    [ "$BASHPID" = $$ ] || return 0
    echo "FAILED at line ${BASH_LINENO[*]}: $1"
    tail -n 3 "$run_dir"/*.out
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || echo "$name does not run"
    done
} >&2

# Kills processes and waits until they are gone: until then they hold their ports. `wait` knows no disowned ones.
kill_processes() { # NAME...
    for name in "$@"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "$@"; do
        while kill -0 "${pids[$name]}" 2>/dev/null; do sleep 0.01; done
    done
}

end_run() {
    kill_processes "${!pids[@]}"
    wait 2>/dev/null || true
    rm -rf "$run_dir"
}

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run_dir/$name.out" 2>&1 9>&- &
    pids[$name]=$!
    disown "${pids[$name]}"
}

start_endpoint() { # KIND NAME PORT
    start "$2" "$build/standin-$1" --listen "127.0.0.1:$3" --name "$2" --log "$run_dir/$2.log"
}

wait_ready() { # ADMIN_PORT
    for _ in $(seq 100); do
        curl -sf -o /dev/null "http://127.0.0.1:$1/readyz" && return 0
        sleep 0.1
    done
    echo "daemon at admin port $1 is not ready" >&2
    return 1
}

fault() { # PORT NAME VALUE
    curl -sf -o /dev/null -X POST "http://127.0.0.1:$1/fault?name=$2&value=$3"
}

reclaim() { # PLATFORM_PORT INSTANCE NOTICE_MS
    curl -sf -o /dev/null -X POST "http://127.0.0.1:$1/cloud/reclaim?instance=$2&noticeMs=$3"
}

# A counter summed over daemons: counter NAME ADMIN_PORT...
counter() {
    local name=$1
    shift
    for port in "$@"; do
        curl -s "http://127.0.0.1:$port/metrics"
    done | awk -v name="$name" '$1 == name { sum += $2 } END { print sum + 0 }'
}

start_normativa_clara() { # how many daemons
    start_endpoint platform platform 17400
    for i in $(seq 12); do start_endpoint engine "redactor-$i" $((17499 + i)); done
    for i in $(seq 4); do start_endpoint plainservice "portal-$i" $((17599 + i)); done
    sleep 0.3
    for i in $(seq "$1"); do
        start "daemon-$i" "$build/cranberryd" --settings "$root/examples/normativa-clara/daemon-$i.json"
    done
    for _ in $(seq 50); do
        curl -sf -o /dev/null http://127.0.0.1:17200/healthz && break
        sleep 0.1
    done
    sleep 1
    "$build/cranberryctl" --daemon 127.0.0.1:17200 apply "$root/examples/normativa-clara.json" >"$run_dir/apply.out"
    for i in $(seq "$1"); do wait_ready $((17199 + i)); done
}
