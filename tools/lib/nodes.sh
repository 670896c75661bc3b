# Functions to run nodes against the stand-ins on this machine. Sourced by
# tools/demo and tools/soak.

dir=$(mktemp -d)
# Loopback addresses of this run, of which no other run may have the same.
: "${net:=127.$((64 + $$ % 128)).$((RANDOM % 250))}"
# Global also when sourced in a function: the trap at the end needs it.
declare -gA pids
stop_all() {
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $dir"; else rm -rf "$dir"; fi
}
trap stop_all EXIT
trap "exit 1" INT TERM

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
  # The loader runs before the program can handle signals.
  sleep 0.1
}

# Starts the stand-ins with three callers' addresses; sets `store` and `fleet`.
start_fleet() { # arguments of radishwing-demo-fleet...
  build/radishwing-demo-fleet --front "$net.1:8340" --front "$net.2:8340" \
    --front "$net.3:8340" "$@" >"$dir/fleet.log" 2>&1 &
  fleet=$!
  pids[fleet]=$fleet
  until grep -q '^store ' "$dir/fleet.log"; do sleep 0.05; done
  store=$(sed -n 's/^store //p' "$dir/fleet.log")
}

wait_end() { # name
  while kill -0 "${pids[$1]}" 2>/dev/null; do sleep 0.05; done
}
