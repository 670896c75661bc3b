# Functions to run a fleet of stand-ins and daemons on this machine. Sourced by
# tools/demo and bench/request_path.

dir=$(mktemp -d)
# Loopback addresses of this run; two runs at the same time do not collide.
net=127.$((64 + $$ % 128))
export RADISHWING_FLEET_SECRET=fleet-secret-of-this-run
export RADISHWING_OPERATOR_SECRET=operator-secret-of-this-run
declare -A pids

stop_all() {
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $dir"; else rm -rf "$dir"; fi
}
trap stop_all EXIT

start() { # name program arguments...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids[$name]=$!
  disown
}

# Waits until a started process has ended.
wait_end() { # name...
  for name in "$@"; do
    while kill -0 "${pids[$name]}" 2>/dev/null; do sleep 0.05; done
    unset "pids[$name]"
  done
}

wait_ready() { # name...
  for name in "$@"; do
    for _ in $(seq 200); do
      grep -q ': ready' "$dir/$name.log" && continue 2
      sleep 0.05
    done
    echo "$name did not start" >&2
    tail -5 "$dir/$name.log" >&2
    exit 1
  done
}

# Fifty hosts in racks of 4, in turn in the data centres a and b.
write_hosts() {
  echo '{"hosts":['
  for i in $(seq 0 49); do
    data_centre=$([ $((i % 2)) -eq 0 ] && echo a || echo b)
    [ "$i" -gt 0 ] && echo ,
    echo "{\"host\":\"h$i\",\"data_centre\":\"$data_centre\",\"rack\":\"$data_centre$((i / 8))\",\"cores\":16,\"memory_mb\":65536}"
  done
  echo ']}'
}

start_platform() {
  write_hosts >"$dir/hosts.json"
  start platform build/radishwing-platform-fake --address "$net.0.1:7000" \
    --hosts-file "$dir/hosts.json" --lag-ms 500 --reboot-ms 1500
  wait_ready platform
}

start_runner() { # number service options...
  local number=$1 service=$2
  shift 2
  start "runner-$number" build/radishwing-runner-fake \
    --address "$net.9.$((number + 1)):8000" --service "$service" \
    --host "h$number" --id "r$number" --platform "$net.0.1:7000" "$@"
}

start_control() { # host data-centre address
  local host=$1 data_centre=$2 address=$3
  cat >"$dir/$host-control.json" <<JSON
{ "host": "$host", "data_centre": "$data_centre",
  "control_address": "$address:7400", "operator_address": "$address:7500",
  "metrics_address": "$address:9101", "platform_address": "$net.0.1:7000",
  "peers": ["$net.1.1:7400", "$net.2.1:7400", "$net.2.2:7400"] }
JSON
  start "$host-control" build/radishwing-control --settings "$dir/$host-control.json"
  wait_ready "$host-control"
}

start_entry() { # host data-centre address
  local host=$1 data_centre=$2 address=$3
  cat >"$dir/$host-entry.json" <<JSON
{ "host": "$host", "data_centre": "$data_centre",
  "control_address": "$address:7400", "caller_address": "$address:8080",
  "metrics_address": "$address:9100", "balancer_delay_ms": 500 }
JSON
  start "$host-entry" build/radishwing-entry --settings "$dir/$host-entry.json"
  wait_ready "$host-entry"
}

start_entry_host() { # host data-centre address
  start_control "$@"
  start_entry "$@"
}

ctl() { build/radishwingctl "$@"; }

# Grants a team a key and prints it.
grant() { # team
  ctl --output json team grant-key "$1" run-key |
    sed -nE 's/.*"key": ?"([^"]+)".*/\1/p'
}
