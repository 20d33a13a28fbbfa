#!/usr/bin/env bash
# The only key is taken away with its tenant. Exit code: 1 the rule was broken, 0 it held, 2 could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../lib.sh"
begin revoke 300
start_daemon 0 "$((port + 200))"
run_stand "$port" "$here/record.txt" "${TROUBLE:-1}"
