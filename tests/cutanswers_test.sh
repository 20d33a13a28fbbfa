#!/usr/bin/env bash
# Guards against an answer that its endpoint cut short and that reaches its caller as a whole one: cut at every byte of
# head and body, with and without framing, closed and reset. With "broken": against one that is no answer at all, or whose
# connection is reset while its request is written. Usage: cutanswers_test.sh plain|stream|relay|relay_stream|own [broken]
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/limitedprocess.sh"

case=$1
first_port=21031 # Below those of the soak and of the review.
count=24
kind=plain
memory_mb=260
descriptors=4100
path=/cut/1
relayed_min=500
route="c['Routes'][3]"
stream_route="c['Routes'][0]"
plays=12

# Ports of the stand-in's endpoints and of those that cut their answers.
all_endpoint_ports=21001-$((first_port + count - 1))

if [ "${2:-}" = broken ]; then
    relayed_min=300
    body_bytes=$((16 << 20))
    memory_mb=4000
    route="c['Routes'][2]" # Not to be repeated.
    stream_route="c['Routes'][1]" # Not to be resumed.
fi
configuration_edit="c['Routes'].append(dict($route, Name='cut', Prefix='/cut/', Service='svc-cut', TimeoutMs=3000))
c['Services'].append({'Name': 'svc-cut', 'MaxConnections': 100})"

if [[ $case == *stream ]]; then
    kind=stream
    relayed_min=100
    configuration_edit="c['Routes'].append(dict($stream_route, Name='cut', Prefix='/cut/', Service='svc-cut'))
c['Services'].append(dict(c['Services'][0], Name='svc-cut'))"
fi

begin_run
case $case in
plain | stream)
    start_gateway
    ;;
relay | relay_stream)
    # The daemon that is asked reaches no endpoint, its peer does.
    echo refused >"$run_dir/links"
    preload=(env LD_PRELOAD="$build/liblinkfaults.so" LINK_FAULT_FILE="$run_dir/links" LINK_FAULT_PORTS="$all_endpoint_ports")
    start_gateway
    sed -E 's/(21[1-5]0)1/\12/g; s/entry-1/entry-2/' "$run_dir/settings.json" >"$run_dir/settings-2.json"
    start peer "$build/cranberrygated" --settings "$run_dir/settings-2.json"
    wait_for "the peer" curl -sf "http://127.0.0.1:21202/ready"
    ;;
own)
    plays=3 # The uploads of more have no room in its memory.
    start_own_daemon
    path=/v1/services/cut/x
    count=150 # An endpoint that failed is left alone for a while.
    ;;
esac
if [ "$case" = own ]; then
    to=17100
    store_port=0
    python3 - "$root/examples/normativa-clara.json" "$run_dir/cut.json" $first_port $count <<'EDIT'
import json, sys
c = json.load(open(sys.argv[1]))
plain = next(s for s in c["services"] if s["kind"] == "plain")
template = plain["endpoints"][0]
c["services"].append(dict(plain, name="cut", endpoints=[
    dict(template, name=f"c-{n}", address=f"127.0.0.1:{int(sys.argv[3]) + n}") for n in range(int(sys.argv[4]))]))
json.dump(c, open(sys.argv[2], "w"))
EDIT
else
    to=21101
    store_port=${store##*:}
fi
parameters=(--port $first_port --count $count --to $to --store "$store_port")
if [ "${2:-}" = broken ]; then
    start endpoints python3 "$root/tests/brokenanswers.py" "$kind" "${parameters[@]}" --path "${path%/*}/" --plays $plays
else
    start endpoints python3 "$root/tests/cutanswers.py" "$kind" "${parameters[@]}" --path "$path"
fi
wait_for "the endpoints" grep -q ready "$run_dir/endpoints.out"
[ "$case" != own ] || "$build/cranberryctl" --daemon 127.0.0.1:17200 apply "$run_dir/cut.json" >"$run_dir/apply.out"
for _ in $(seq 900); do
    ! grep -q '^played' "$run_dir/endpoints.out" || break
    sleep 0.1
done
cat "$run_dir/endpoints.out"
expect "no caller believed an answer that is not whole, or missed one that is" "$(grep -c '^WRONG' "$run_dir/endpoints.out" || true)" 0
expect "all places were played" "$(grep -oE '^played ([0-9]+) of \1 ' "$run_dir/endpoints.out" | wc -l)" 1
arrives() { # KIND
    expect "answers arrive: $1" "$(grep -c "'$1': " "$run_dir/endpoints.out" || true)" 1
}
if [ "${2:-}" = broken ]; then
    arrives "sound, served"
    arrives "broken, not believed"
else
    arrives "whole"
    arrives "whole, without framing"
fi
if [[ $case == relay* ]]; then
    relayed=$(curl -s http://127.0.0.1:21502/metrics | awk '$1 == "cranberry_gateway_relayed_for_peers_total" { print $2 }')
    expect "the peer carried them ($relayed)" "$((relayed > relayed_min))" 1
fi
