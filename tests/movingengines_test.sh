#!/usr/bin/env bash
# Guards against a stream that was stopped for a move and whose close is read before the reply: it must not reach its
# caller as complete. Usage: movingengines_test.sh chunked|unframed [SEED]
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/limitedprocess.sh"

memory_mb=260
descriptors=4100
more_settings='"repeatSlack":200,' # All of them may be moved.
configuration_edit="c['Routes'].append(dict(c['Routes'][1], Name='moves', Prefix='/moves/', Service='svc-moves'))
c['Services'].append(dict(c['Services'][0], Name='svc-moves'))
c['Services'][-1]['Engine'] = dict(c['Services'][0]['Engine'], Moves=True)"

begin_run
start_gateway
start engines python3 "$root/tests/movingengines.py" "$1" --port 21031 --to 21101 --store "${store##*:}" --seed "${2:-1}"
for _ in $(seq 400); do
    ! grep -q '^played' "$run_dir/engines.out" || break
    sleep 0.1
done
cat "$run_dir/engines.out"
for line in move moved move_failed move_source_closed move_returned; do
    echo "log: $line $(grep -c "\"event\":\"$line\"" "$run_dir/daemon.out" || true)"
done
cp "$run_dir/daemon.out" "${KEEP_LOG:-/dev/null}"
expect "all streams have ended" "$(grep -oE '^played: ([0-9]+) of \1,' "$run_dir/engines.out" | wc -l)" 1
expect "streams were moved" "$(grep -cE 'moved [1-9]' "$run_dir/engines.out" || true)" 1
expect "no stream is out of order or ends early" "$(grep -cE 'OUT OF ORDER|ENDED EARLY' "$run_dir/engines.out" || true)" 0
