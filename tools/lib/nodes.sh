# Functions that run nodes against the fake platform on this machine. Sourced by
# tools/demo and tools/soak.

# Directory of the nodes' settings files and all log files.
dir=$(mktemp -d)
# Loopback network prefix of the nodes. Concurrent deployments must not share
# a prefix.
: "${net:=127.$((64 + $$ % 128)).$((RANDOM % 250))}"
# Process ids by process name. Global even if this file is sourced in a function,
# because the EXIT trap reads it.
declare -gA pids
stop_all() {
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $dir"; else rm -rf "$dir"; fi
}
trap stop_all EXIT
trap "exit 1" INT TERM

# Starts node n<number> and adds it to `pids`.
start_node() { # number
  cat >"$dir/n$1.json" <<SETTINGS
{"node": "n$1", "ip": "$net.$1", "zone": "z$1", "port-range": [7000, 7015],
 "bind": {"front": "$net.$1:8340", "readiness": "$net.$1:8343"},
 "limits": {"cpu-share": 1, "cores": 1},
 "platform": {"address": "$store"}, "cloud": {"address": "$net.9:1"}}
SETTINGS
  RADISHWING_NODE_FILE="$dir/n$1.json" build/radishwing-node >>"$dir/n$1.log" 2>&1 &
  pids[n$1]=$!
  disown
  # The node installs its signal handlers only after dynamic loading. A signal
  # that arrives earlier terminates the node.
  sleep 0.1
}

# Starts the fake platform and the load generator with the client API addresses
# of three nodes. Sets `store` to the store's address and `fleet` to the id of the
# process.
start_fleet() { # arguments of radishwing-demo-fleet...
  build/radishwing-demo-fleet --front "$net.1:8340" --front "$net.2:8340" \
    --front "$net.3:8340" "$@" >"$dir/fleet.log" 2>&1 &
  fleet=$!
  pids[fleet]=$fleet
  until grep -q '^store ' "$dir/fleet.log"; do sleep 0.05; done
  store=$(sed -n 's/^store //p' "$dir/fleet.log")
}

# Waits until the process with the name <name> in `pids` has exited.
wait_end() { # name
  while kill -0 "${pids[$1]}" 2>/dev/null; do sleep 0.05; done
}
