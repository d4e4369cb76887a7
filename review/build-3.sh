#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: the store, the replicas and the clients, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3 ./review/_standin3
