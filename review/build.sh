#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
shared="standins/storestate.cpp src/io/httpserver.cpp src/io/httpclient.cpp src/io/socketoptions.cpp \
src/io/base64.cpp src/common/httpfields.cpp src/common/types.cpp"
for each in review/stand/*.cc; do
    name=$(basename "$each" .cc)
    # shellcheck disable=SC2086
    g++ -std=c++20 -O1 -Isrc -I. -Istandins "$each" $shared -lboost_json -lfmt -lxxhash -lcrypto -lpthread \
        -o "target/review/$name"
done
