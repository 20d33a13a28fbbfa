#!/usr/bin/env bash
# The review's cases that hold, in a fresh copy of the sources: the deploy file's build, review/build.sh, the case. Usage: review_test.sh BUILD build|packages|CASE
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
tree="$1/review tree"
logs=$1/review-logs

build_command() {
    sed -n 's/^build = "\(.*\)"$/\1/p' "$root/deploy/system.toml"
}

# What a copy of the tree may bring along: a build of another folder, and a daemon of another kind of machine.
carry_over_build() {
    for folder in target "target/build-$(uname -m)"; do
        mkdir -p "$tree/$folder"
        echo "CMAKE_HOME_DIRECTORY:INTERNAL=/elsewhere" >"$tree/$folder/CMakeCache.txt"
        printf 'another machine' >"$tree/$folder/cranberrygated"
        chmod +x "$tree/$folder/cranberrygated"
    done
}

# Guards against "build first": one of the two builds ends without its programs. Both run at the same time, without a
# home, and with warnings that the sources do not avoid, as newer compilers have them.
build_fresh_copy() {
    rm -rf "$tree"
    mkdir -p "$tree" "$logs"
    for each in CMakeLists.txt deploy platform review src standins; do cp -r "$root/$each" "$tree"; done
    carry_over_build
    cd "$tree"
    env -i PATH="$PATH" HOME=/nonexistent review/build.sh >"$logs/review.txt" 2>&1 &
    local review=$!
    env -i PATH="$PATH" HOME=/nonexistent CXXFLAGS=-Wframe-larger-than=64 sh -c "$(build_command)" >"$logs/deploy.txt" 2>&1 ||
        fail "the deploy file's build" "$logs/deploy.txt"
    wait "$review" || fail "review/build.sh" "$logs/review.txt"
    ./target/cranberrygated --help >/dev/null || fail "the daemon does not start" "$logs/deploy.txt"
}

fail() { # WHAT LOG
    echo "FAILED: $1"
    tail -n 20 "$2"
    exit 1
}

case $2 in
build) build_fresh_copy ;;
packages) exec python3 "$root/tests/buildpackages.py" "$tree" "$root/deploy/system.toml" ;;
*) exec "$tree/review/$2/run.sh" ;;
esac
