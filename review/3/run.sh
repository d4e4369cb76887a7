#!/usr/bin/env bash
# Exits with 1 if more than three requests run on more replicas than max_attempts in one attempt, 0 if not, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/parsleyhatch ] && [ -x target/review-standin ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review-standin thirdrun review/3 target/parsleyhatch
