#!/usr/bin/env bash
# Guards against clients that end a process, or keep it from others: a small crowd at one address of a real process with
# little memory and few descriptors. Judged by the process's memory, descriptors and life, and by whether an ordinary
# request is answered beside the crowd and after it. Usage: crowd_test.sh DOOR KIND
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/limitedprocess.sh"

door=$1
kind=$2
file_descriptors=200 # Of them; the others are for sockets.

count=100
bytes=$body_bytes
path=/order/1
case $kind in
trailers | extensions | zeros | announced) bytes=$((2 * body_bytes)) ;;
idle) count=800 ;;
headers) count=400 bytes=7800 ;;
pipelined) path=/nowhere/1 ;;
esac

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
[ "$kind" != unread ] || curl -sf -X POST "http://$store/fault?name=answerBytes&value=$body_bytes"
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
if [ "$door $kind" = "callers idle" ]; then
    told=$(grep -c '"event":"connections_short"' "$run_dir/daemon.out" || true)
    expect "the log tells that connections were short ($told lines)" "$((told > 0 && told < 60))" 1
fi
expect "the process lives" "$(kill -0 "$pid" 2>/dev/null && echo lives)" lives
expect "memory of at most $memory_mb MB ($(peak kb) KB)" "$(($(peak kb) <= memory_mb * 1024))" 1
expect "sockets leave $file_descriptors of $descriptors descriptors ($(peak descriptors) open)" \
    "$(($(peak descriptors) <= descriptors - file_descriptors))" 1
expect "an ordinary request beside the crowd" "$beside" 200
expect "an ordinary request after it" "$after" 200
expect "one of the largest size after it" "$largest" 200
