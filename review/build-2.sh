#!/usr/bin/env bash
# Builds the stand-in of the scripts of the second review into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/standin2 ./review/_standin2
