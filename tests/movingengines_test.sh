#!/usr/bin/env bash
# Guards against a stream that was stopped for a move and whose close is read before the reply, or whose process was
# killed: it must not reach its caller as complete; and against one that is lost with a late or missing reply (late), or
# with its engine, which exits when its notice has passed (exiting, queued), or beside versions and SIGHUP (versions);
# and against one that goes on at another engine while its own, which hangs, has not stopped it (hanging).
# Usage: movingengines_test.sh chunked|unframed|ending|late|hanging|exiting|queued|versions|relay|killed [SEED]
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/limitedprocess.sh"

memory_mb=260
descriptors=4100
more_settings='"repeatSlack":200,' # All of them may be moved.
configuration_edit="c['Routes'].append(dict(c['Routes'][1], Name='moves', Prefix='/moves/', Service='svc-moves'))
c['Services'].append(dict(c['Services'][0], Name='svc-moves'))
c['Services'][-1]['Engine'] = dict(c['Services'][0]['Engine'], Moves=True)"

case=$1
framing=$1
callers_of=(21101)
length=()
[ "$case" != queued ] || length=(--events 160 --notice 5000) # All copies of an engine take 3 s.
begin_run
if [ "$case" = relay ]; then
    # The daemon that is asked reaches no endpoint, its peer does.
    framing=unframed
    echo refused >"$run_dir/links"
    preload=(env LD_PRELOAD="$build/liblinkfaults.so" LINK_FAULT_FILE="$run_dir/links" LINK_FAULT_PORTS=21001-21038)
fi
start_gateway
if [ "$case" = relay ] || [ "$case" = killed ]; then
    sed -E 's/(21[1-5]0)1/\12/g; s/entry-1/entry-2/' "$run_dir/settings.json" >"$run_dir/settings-2.json"
    start peer "$build/cranberrygated" --settings "$run_dir/settings-2.json"
    wait_for "the peer" curl -sf "http://127.0.0.1:21202/ready"
fi
[ "$case" != killed ] || callers_of+=(21102)
start engines python3 "$root/tests/movingengines.py" "$framing" --port 21031 --to "${callers_of[@]}" --store "${store##*:}" \
    --seed "${2:-1}" ${length[@]+"${length[@]}"}
if [ "$case" = versions ]; then
    start versions python3 "$root/tests/manyversions.py" "$run_dir/configuration.json" "$store" "${pids[daemon]}"
fi
if [ "$case" = killed ]; then
    wait_for "the kill of half of the engines" grep -q leave "$run_dir/engines.out"
    sleep 0.5
    kill_processes peer
    unset "pids[peer]"
fi
for _ in $(seq 400); do
    ! grep -q '^played' "$run_dir/engines.out" || break
    sleep 0.1
done
cat "$run_dir/engines.out"
for line in move move_copied moved moved_without_reply move_failed move_asked_again move_source_closed move_returned; do
    echo "log: $line $(grep -c "\"event\":\"$line\"" "$run_dir/daemon.out" || true)"
done
cp "$run_dir/daemon.out" "${KEEP_LOG:-/dev/null}"
expect "all streams have ended" "$(grep -oE '^played: ([0-9]+) of \1,' "$run_dir/engines.out" | wc -l)" 1
versions=$(grep -c '"event":"configuration"' "$run_dir/daemon.out")
[ "$case" != versions ] || expect "versions came into force ($versions)" "$((versions > 10))" 1
[ "$case" = killed ] || expect "streams were moved" "$(grep -cE 'moved [1-9]' "$run_dir/engines.out" || true)" 1
expect "no stream is out of order, ends early or is lost" \
    "$(grep -cE 'OUT OF ORDER|ENDED EARLY|RAN TWICE|BROKEN OFF' "$run_dir/engines.out" || true)" 0
