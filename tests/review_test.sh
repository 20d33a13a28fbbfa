#!/usr/bin/env bash
# The review's cases that hold, in a tree of their own: review/build.sh names its sources one by one, so a source that
# the HTTP server begins to need leaves the cases unrunnable, and every one of them "broken".
# Usage: review_test.sh BUILD build|CASE
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
tree=$1/review-tree
if [ "$2" = build ]; then
    rm -rf "$tree"
    mkdir -p "$tree/target"
    cp -r "$root/review" "$tree"
    ln -s "$root/src" "$root/standins" "$tree"
    ln -s "$1/cranberrygated" "$tree/target/cranberrygated"
    exec "$tree/review/build.sh"
fi
exec "$tree/review/$2/run.sh"
