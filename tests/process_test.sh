#!/usr/bin/env bash
# Real processes under failure: killed, frozen, drained, reclaimed, without their platform. Judged by `cranberrybench
# check`, which reads only the callers' and the endpoints' logs. Usage: process_test.sh CASE
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"

admins=$(seq 17200 17207)
callers_log=""

begin() { # tokens of the engines' answers, milliseconds for each
    begin_run
    callers_log=$run_dir/callers.log
    start_normativa_clara 8
    for i in $(seq 12); do
        fault $((17499 + i)) tokens "$1"
        fault $((17499 + i)) tokenMs "$2"
    done
    for i in $(seq 4); do fault $((17599 + i)) workMs 20; done
}

load() { # jobs, per second, tokens
    "$build/cranberrybench" --entry 127.0.0.1:17100 --model redactor --plain portal --organisation diputacion \
        --jobs "$1" --per-second "$2" --tokens "$3" --caller-log "$callers_log" load >"$run_dir/load.out" &
    load_pid=$!
}

judge() {
    wait "$load_pid" || true
    cat "$run_dir/load.out"
    "$build/cranberrybench" check "$callers_log" "$run_dir"/portal-*.log
}

# All jobs whole: for what was announced, and for what nobody may notice.
judge_whole() {
    judge
    ! grep -vE '^[a-z]+ whole ' "$callers_log"
}

expect() { # WHAT GOT WANTED
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: got '$2', wanted '$3'"
        exit 1
    fi
    echo "ok: $1"
}

# The entries that the organisation was told, in order.
entry_number() { # which
    local entry
    entry=$(curl -s "http://127.0.0.1:17100/v1/entries?organisation=diputacion" | grep -o '127.0.0.1:171[0-9]*' | sed -n "$1p")
    echo $((${entry##*:} - 17099))
}

case $1 in
kill)
    # Callers stream from an entry that is killed without notice, then from one that is frozen for 1.2 s. They connect
    # again elsewhere and read on by id; nothing is lost that may be repeated, nothing runs twice.
    begin 60 10
    first=$(entry_number 1)
    second=$(entry_number 2)
    load 400 80 60
    sleep 1.5
    kill -KILL "${pids[daemon-$first]}"
    sleep 1
    kill -STOP "${pids[daemon-$second]}"
    sleep 1.2
    kill -CONT "${pids[daemon-$second]}"
    judge
    ;;
drain)
    # An entry gets SIGTERM with two-second streams open. It finishes them, sends new callers on, and ends by itself.
    begin 200 10
    number=$(entry_number 1)
    load 300 60 200
    sleep 2
    kill -TERM "${pids[daemon-$number]}"
    judge_whole
    for _ in $(seq 50); do
        kill -0 "${pids[daemon-$number]}" 2>/dev/null || break
        sleep 0.1
    done
    expect "the drained daemon has ended" "$(kill -0 "${pids[daemon-$number]}" 2>/dev/null && echo runs || echo ended)" ended
    ;;
unread)
    # A stop while a caller reads a large answer late: what its socket did not hold was lost when the process ended.
    begin 10 4
    number=$(entry_number 1)
    python3 - $((17099 + number)) >"$run_dir/reader.out" <<'READER' &
import socket, sys, time
body = b"b" * 4000000
caller = socket.socket()
caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
caller.connect(("127.0.0.1", int(sys.argv[1])))
caller.sendall(b"POST /v1/services/portal/x HTTP/1.1\r\nHost: x\r\nX-Organisation: diputacion\r\n"
               b"Content-Length: %d\r\n\r\n" % len(body) + body)
time.sleep(4)
answer = b""
try:
    while len(answer) < len(body) and (part := caller.recv(1 << 20)):
        answer += part
except OSError as error:
    print(type(error).__name__, end=" ")
print(answer[9:12].decode(), len(answer) >= len(body))
READER
    sleep 2
    kill -TERM "${pids[daemon-$number]}"
    for _ in $(seq 100); do
        grep -q . "$run_dir/reader.out" && break
        sleep 0.1
    done
    expect "the answer is whole" "$(cat "$run_dir/reader.out")" "200 True"
    ;;
stopnow)
    # An entry gets a second signal with a stream open. The stream's caller is told where to read on; its connection is
    # not just closed.
    begin 400 10
    number=$(entry_number 1)
    body='{"model":"redactor","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"hi"}]}'
    curl -sN -H 'X-Organisation: diputacion' -d "$body" \
        "http://127.0.0.1:$((17099 + number))/v1/chat/completions" >"$run_dir/stream" &
    stream_pid=$!
    sleep 1
    kill -TERM "${pids[daemon-$number]}"
    sleep 0.2
    kill -TERM "${pids[daemon-$number]}"
    wait "$stream_pid" || true
    expect "the stream was open" "$(grep -c '^id: ' "$run_dir/stream" | grep -c '..')" 1
    expect "its caller is told where to read on" "$(grep -c '^event: moved' "$run_dir/stream")" 1
    ;;
reclaim)
    # The whole failure domain leioa is reclaimed with four seconds of notice: two entries, three engines, one portal.
    # At the end of the notice all of it is killed. Streams are two seconds long; every job is answered whole.
    begin 200 10
    load 400 60 200
    sleep 2
    for instance in i-entry-1 i-entry-5 i-redactor-1 i-redactor-5 i-redactor-9 i-portal-1; do
        reclaim 17400 "$instance" 4000
    done
    sleep 4
    for name in daemon-1 daemon-5 redactor-1 redactor-5 redactor-9 portal-1; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    judge_whole
    ;;
silent)
    # Three engines go silent in the middle of their streams and stay so; their connections stay open. The entries give
    # each up after the service's progress timeout and go on elsewhere from the text so far.
    begin 60 10
    for i in 1 2 3; do fault $((17499 + i)) hangAfterTokens 20; done
    load 150 50 60
    judge_whole
    # shellcheck disable=SC2086
    [ "$(for port in $admins; do curl -s "http://127.0.0.1:$port/metrics"; done | grep -c 'silentStream"} [1-9]')" -gt 0 ]
    ;;
platform)
    # The platform's service is silent. Work goes on; a change is "not settled", exit code 4; a daemon started now
    # serves with what its peers hold. Afterwards the change can be settled by its id.
    begin 60 5
    fault 17400 silent 1
    kill_processes daemon-8
    start daemon-8 "$build/cranberryd" --settings "$root/examples/normativa-clara/daemon-8.json"
    load 200 50 60
    code=0
    "$build/cranberryctl" --daemon 127.0.0.1:17201 --change outage apply "$root/examples/normativa-clara.json" || code=$?
    expect "a change in an outage is not settled" "$code" 4
    wait_ready 17207
    echo "ok: a daemon started in the outage is ready"
    judge
    fault 17400 silent 0
    sleep 1
    expect "the change is settled by its id" \
        "$("$build/cranberryctl" --daemon 127.0.0.1:17202 change outage | grep -o notAccepted)" notAccepted
    # The answer to the next write is lost after it took effect: the operator is told "accepted" all the same.
    fault 17400 loseTxnAnswers 1
    "$build/cranberryctl" --daemon 127.0.0.1:17203 --change lost apply "$root/examples/normativa-clara.json"
    ;;
operators)
    # Two operators edit the same revision at the same moment. One is told "accepted", the other "conflict", exit code
    # 3; the accepted one is in force in all eight daemons within seconds, also when no watch says anything.
    begin 10 2
    fault 17400 silentWatch 1
    revision=$(curl -s http://127.0.0.1:17200/admin/configuration | grep -o '"revision":[0-9]*' | cut -d: -f2)
    sed 's/"slots": 64/"slots": 63/' "$root/examples/normativa-clara.json" >"$run_dir/a.json"
    sed 's/"slots": 64/"slots": 62/' "$root/examples/normativa-clara.json" >"$run_dir/b.json"
    "$build/cranberryctl" --daemon 127.0.0.1:17201 --base "$revision" apply "$run_dir/a.json" >"$run_dir/a.out" && a=0 || a=$? &
    wait_a=$!
    b=0
    "$build/cranberryctl" --daemon 127.0.0.1:17206 --base "$revision" apply "$run_dir/b.json" >"$run_dir/b.out" || b=$?
    wait "$wait_a" || true
    verdicts=$(cat "$run_dir/a.out" "$run_dir/b.out" | grep -o '"verdict":"[a-z]*"' | sort | tr '\n' ' ')
    expect "one accepted, one conflict" "$verdicts" '"verdict":"accepted" "verdict":"conflict" '
    sleep 3
    winner=$(grep -ho '"revision":[0-9]*,"verdict":"accepted"' "$run_dir"/[ab].out | grep -o '[0-9]*')
    for port in $admins; do
        expect "in force at $port" "$(curl -s "http://127.0.0.1:$port/metrics" | awk '$1 == "cranberry_revision" { print $2 }')" "$winner"
    done
    ;;
ended)
    # A run that follows at once must find the ports free: no process of this one is left when it has ended, also none
    # that takes long to go because of its memory.
    begin_run
    start large python3 -c 'import time; held = b"x" * (400 << 20); print("holds", flush=True); time.sleep(60)'
    for _ in $(seq 100); do
        grep -q holds "$run_dir/large.out" && break
        sleep 0.1
    done
    end_run
    expect "the process" "$(kill -0 "${pids[large]}" 2>/dev/null && echo runs || echo ended)" ended
    ;;
badinput)
    # Callers that send nonsense, too much, or nothing at all get a clear error or a closed connection, each counted;
    # the daemon goes on serving.
    begin 10 2
    url=http://127.0.0.1:17100
    status() { curl -s -o "$run_dir/body" -w '%{http_code}' -m 20 "$@" || true; }
    expect "bad JSON" "$(status -H 'X-Organisation: diputacion' -d '{oops' $url/v1/chat/completions)" 400
    grep -q 'body is not JSON' "$run_dir/body"
    expect "no organisation" "$(status -d '{}' $url/v1/chat/completions)" 400
    body='{"model":"redactor","messages":[{"role":"user","content":"hi"}]}'
    expect "unknown organisation" "$(status -H 'X-Organisation: x' -d "$body" $url/v1/chat/completions)" 403
    expect "unknown service" "$(status -H 'X-Organisation: diputacion' $url/v1/services/nothing/x)" 404
    expect "unknown path" "$(status $url/nothing)" 404
    expect "bad request id" "$(status $url/v1/requests/xyz)" 400
    expect "a request id of daemons that nobody knows" "$(status $url/v1/requests/1-1-1)" 502
    expect "bad session" "$(status -H 'X-Organisation: diputacion' -H 'X-Session: q' -d x $url/v1/services/portal/x)" 400
    head -c 5000000 /dev/zero >"$run_dir/big"
    expect "body too large" "$(status -H 'X-Organisation: diputacion' --data-binary "@$run_dir/big" $url/v1/chat/completions)" 413
    long=$(head -c 20000 /dev/zero | tr '\0' a)
    expect "header too large" "$(status -H "X-Long: $long" $url/v1/entries)" 431
    exec 5<>/dev/tcp/127.0.0.1/17100
    printf 'NONSENSE\r\n\r\n' >&5
    expect "malformed HTTP" "$(head -c 12 <&5)" "HTTP/1.1 400"
    exec 5>&-
    exec 6<>/dev/tcp/127.0.0.1/17100
    printf 'GET / HT' >&6
    expect "a caller that never ends its request is closed" "$(timeout 15 cat <&6 | wc -c)" 0
    exec 6>&-
    expect "served afterwards" "$(status -H 'X-Organisation: diputacion' -d "$body" $url/v1/chat/completions)" 200
    curl -s http://127.0.0.1:17200/metrics | grep -E 'cranberry_http_(bad_requests|too_large|timeouts)_total [1-9]'
    ;;
*)
    echo "no such case: $1" >&2
    exit 2
    ;;
esac
echo "case $1 held"
