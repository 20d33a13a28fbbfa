#!/usr/bin/env bash
# Guards against a reply of the store that is broken off, or that is none, and is believed: keys that it leaves out, a
# configuration that is gone, a reply that belongs to another call. Usage: brokenstore_test.sh [SEED]
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/limitedprocess.sh"

memory_mb=260
descriptors=4100
proxy_port=21030
daemon_store=127.0.0.1:$proxy_port

begin_run
start callers python3 "$root/tests/brokenstore.py" --port $proxy_port --store "${store##*:}" --to 21101 --seed "${1:-1}"
wait_for "the proxy" grep -q ready "$run_dir/callers.out"
start_gateway
start versions python3 "$root/tests/manyversions.py" "$run_dir/configuration.json" "$store"
for _ in $(seq 300); do
    ! grep -q '^played' "$run_dir/callers.out" || break
    sleep 0.1
done
cat "$run_dir/callers.out"
cp "$run_dir/daemon.out" "${KEEP_LOG:-/dev/null}"
logged() { # EVENT
    grep -c "\"event\":\"$1\"" "$run_dir/daemon.out" || true
}
for line in store_lost store_regained configuration_unreadable member_unreadable lease_lost; do
    echo "log: $line $(logged $line)"
done
expect "the play has ended" "$(grep -c '^played' "$run_dir/callers.out")" 1
expect "each caller gets a whole answer to its own request" "$(grep -cE '^played: [1-9][0-9]+ answers, wrong 0' "$run_dir/callers.out" || true)" 1
expect "no configuration and no endpoint is taken for gone" "$(grep -cE '"event":"(configuration_missing|keys_not_required|endpoint_unreadable)"' "$run_dir/daemon.out" || true)" 0
