#!/usr/bin/env bash
# Guards against servers whose bytes have no end: the process that calls them must not run out of memory, and requests to
# other servers are answered. Usage: faultyservers_test.sh gateway|own KIND
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/limitedprocess.sh"

process=$1
kind=$2
first_port=21031 # Below those of the soak and of the review.
count=24
callers=24
path=/faulty/1
if [ "$kind" = chunk-stalled ]; then
    descriptors=4100
    callers=500
fi
configuration_edit="c['Routes'].append(dict(c['Routes'][3], Name='faulty', Prefix='/faulty/', Service='svc-faulty', TimeoutMs=5000))
c['Services'].append({'Name': 'svc-faulty', 'MaxConnections': 100})
c['Services'][0]['Engine'].update(Moves=True)"

begin_run
if [ "$process" = gateway ]; then
    start_gateway
    to=21101
    store_port=${store##*:}
    [ "$kind" != move-stalled ] || path=/draft/1
else
    start_own_daemon
    to=17100
    store_port=0
    path=/v1/chat/completions
    [ "$kind" != plain-endless ] || path=/v1/services/faulty/x
fi
start servers python3 "$root/tests/faultyservers.py" "$kind" --port $first_port --count $count --callers $callers --to $to \
    --path "$path" --store "$store_port"
wait_for "the servers" grep -q ready "$run_dir/servers.out"
if [ "$process" = own ]; then
    python3 - "$root/examples/normativa-clara.json" "$run_dir/faulty.json" "$kind" $first_port $count <<'EDIT'
import json, sys
c = json.load(open(sys.argv[1]))
name = "faulty" if sys.argv[3] == "plain-endless" else "redactor"
model = next(s for s in c["services"] if s["name"] == "redactor")
plain = next(s for s in c["services"] if s["kind"] == "plain")
service = dict(model if name == "redactor" else plain, name=name)
template = service["endpoints"][0]
service["endpoints"] = [dict(template, name=f"f-{n}", address=f"127.0.0.1:{int(sys.argv[4]) + n}") for n in range(int(sys.argv[5]))]
c["services"] = [s for s in c["services"] if s["name"] != name] + [service]
json.dump(c, open(sys.argv[2], "w"))
EDIT
    "$build/cranberryctl" --daemon 127.0.0.1:17200 apply "$run_dir/faulty.json" >"$run_dir/apply.out"
fi
pid=${pids[daemon]}
sleep 4
beside=$(ordinary beside -d x)
wait_for "the end of the callers" grep -q "callers ended" "$run_dir/servers.out"
after=$(ordinary after -d x)
grep "callers ended" "$run_dir/servers.out"
peak_kb=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$pid/status" 2>/dev/null || echo 0)

expect "the process lives" "$(kill -0 "$pid" 2>/dev/null && echo lives)" lives
expect "memory of at most $memory_mb MB ($peak_kb KB)" "$((peak_kb > 0 && peak_kb <= memory_mb * 1024))" 1
expect "an ordinary request beside the callers" "$beside" 200
expect "an ordinary request after them" "$after" 200
