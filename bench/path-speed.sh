#!/bin/sh
# Starts two naive relays in a row and an entry with an agent in front of the same upstream, and compares both paths.
# Usage: bench/path-speed.sh [BUILD_DIRECTORY [PATH_SPEED_OPTION...]]; ENTRY_OPTIONS and AGENT_OPTIONS hold
# flags of entry and agent.
set -eu
bin=${1:-build}/bin
[ $# -eq 0 ] || shift
address=127.61.0.1
directory=$(mktemp -d)
pids=
stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$directory"
}
trap stop EXIT INT TERM
cat >"$directory/base.yaml" <<YAML
defaults:
  slots: 64
failureDomains:
  a:
services:
  core:
    listeners:
      orders: { endpoint: "$address:7001", class: request }
      sheets: { endpoint: "$address:7002", class: bulk }
    upstreams:
      host-1: { failureDomain: a, agent: "$address:7003", address: "$address:7004" }
YAML
start() {
    "$@" >>"$directory/log" 2>&1 &
    pids="$pids $!"
}
"$bin/wasabictl" compile --out "$directory/published" "$directory/base.yaml" >/dev/null
start "$bin/fake-platform" --listen-address "$address:7010" --control-address "$address:7011" \
    --directory "$directory/published"
start "$bin/fake-upstream" --listen="$address:7004" --admin="$address:7014" --slots=64
start "$bin/naive-relay" --targets="$address:7004" --listen="$address:7005"
start "$bin/naive-relay" --targets="$address:7005" --listen="$address:7006"
sleep 0.5
start "$bin/wasabi-agent" --name host-1 --platform "$address:7010" --link-endpoint "$address:7003" \
    --admin-endpoint "$address:7012" --log-threshold "${LOG_THRESHOLD:-info}" --log-file "$directory/agent.log" ${AGENT_OPTIONS:-}
start "$bin/wasabi-entry" --name entry-1 --platform "$address:7010" --link-endpoint "$address:7008" \
    --admin-endpoint "$address:7013" --log-threshold "${LOG_THRESHOLD:-info}" --log-file "$directory/entry.log" \
    ${ENTRY_OPTIONS:-}
sleep 1.5
"$bin/path-speed" --baseline="$address:7006" --candidate="$address:7001" --download-candidate="$address:7002" \
    --direct="$address:7004" "$@" || { cat "$directory/log"; exit 1; }
