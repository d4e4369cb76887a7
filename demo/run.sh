#!/usr/bin/env bash
# Starts a demo deployment on loopback: stand-ins for the platform and the upstreams, and one VM
# process for each entry of the roster. Sends requests, prints the answers, and stops everything.
# usage: demo/run.sh [association|registry] [keep]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment="${1:-association}"
keep="${2:-}"
config="config/examples/$deployment.json"
work="$(mktemp -d)"
binary="$work/parsleyhatch"
pids=()

# stop ends the processes that this script started, by their ids, and waits for them.
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

go build -o "$binary" .
export PARSLEYHATCH_FLEET_KEY="demo fleet key, not a secret"
export PARSLEYHATCH_UPSTREAM_CREDENTIAL="demo-platform-credential"
platform="127.0.0.1:9100"
"$binary" standin -config "$config" -platform-listen "$platform" >"$work/standin.log" 2>&1 &
pids+=($!)
roster="$("$binary" roster -config "$config")"
seeds="$(awk '{printf "%s%s", sep, $5; sep=","}' <<<"$roster")"
while read -r slot region domain callers peers; do
  "$binary" serve -slot "$slot" -region "$region" -failure-domain "$domain" -listen "$callers" \
    -peer-listen "$peers" -admin "${callers%:*}:8081" -platform "http://$platform" -seeds "$seeds" \
    -emulate-links "$config" -drain-limit 10s >"$work/$slot.log" 2>&1 &
  pids+=($!)
done <<<"$roster"
echo "started $(wc -l <<<"$roster") VMs and the stand-ins of deployment $deployment"

if "$binary" load -config "$config" -keys "config/examples/$deployment.keys" -wait 20s -duration 5s -rate 20 -seed 1 -tickets 1 -show 8; then
  status=0
else
  status=$?
  tail -n 5 "$work"/*.log
fi
if [ "$keep" = keep ]; then
  echo "running; callers' addresses:"
  awk '{print "  " $1, $2, "http://" $4}' <<<"$roster"
  echo "keys: config/examples/$deployment.keys; stop with Ctrl-C"
  wait
fi
exit "$status"
