# Bash functions that the demo and the benchmarks share, for settings, processes and polling. Source
# this file; it needs only a JDK, Maven and coreutils. The script that sources it sets folder, the
# directory for settings, data and logs.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cli="$root/bin/goldcrestfall"
standin="$root/bin/goldcrestfall-standin"
daemon="$root/bin/goldcrestfalld"

declare -A pids=()      # name of a process started by this script -> process id
declare -A http=()      # host -> ip:port of its HTTP listener
declare -A peer=()      # host -> ip:port of its listener for other daemons
failures=0              # number of failed checks and of processes that exited with an error

say() { printf '%s  %s\n' "$(date +%H:%M:%S)" "$*"; }

# Compares two texts, prints the result and counts a difference in failures:
# check DESCRIPTION ACTUAL EXPECTED
check() {
  if [[ "$2" == "$3" ]]; then
    say "ok: $1 is $3"
  else
    say "NOT AS EXPECTED: $1 is '$2', expected '$3'"
    failures=$((failures + 1))
  fi
}

sha256() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Prints a number of random bytes in hexadecimal: random_hex BYTES
random_hex() { head -c "$1" /dev/urandom | od -An -v -tx1 | tr -d ' \n'; }

# Prints the first value of a numeric field: number FIELD JSON
number() {
  local pattern="\"$1\" ?: ?(-?[0-9]+)"
  [[ "$2" =~ $pattern ]] && printf '%s' "${BASH_REMATCH[1]}"
}

# Prints the first value of a string field: text FIELD JSON
text() {
  local pattern="\"$1\" ?: ?\"([^\"]*)\""
  [[ "$2" =~ $pattern ]] && printf '%s' "${BASH_REMATCH[1]}"
}

build() {
  say "building"
  (cd "$root" && mvn -B -ntp -q -DskipTests package)
}

# Starts a process in the background, with its output appended to a log file, and records its id:
# start NAME COMMAND...
start() {
  local name="$1"
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  pids[$name]=$!
}

# Sends SIGTERM to all named processes and waits for them. An exit status other than 0 counts as a
# failure: stop NAME...
stop() {
  local name code
  for name in "$@"; do
    [[ -n "${pids[$name]:-}" ]] && kill -TERM "${pids[$name]}" 2>/dev/null
  done
  for name in "$@"; do
    [[ -n "${pids[$name]:-}" ]] || continue
    code=0
    wait "${pids[$name]}" || code=$?
    unset "pids[$name]"
    if [[ "$code" != 0 ]]; then
      say "NOT AS EXPECTED: $name exited with $code, expected 0; see $folder/$name.log"
      failures=$((failures + 1))
    fi
  done
  return 0
}

# Kills all processes that are still running. For the exit trap, after a failure.
kill_rest() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null
    wait "${pids[$name]}" 2>/dev/null
  done
  pids=()
  return 0
}

# Waits until all hosts are ready, with a time limit for the whole wait: await_ready SECONDS HOST...
await_ready() {
  local seconds="$1" urls=() host
  shift
  for host in "$@"; do
    urls+=(--url "http://${http[$host]}/readyz")
  done
  "$standin" call --until-status 200 --timeout-seconds "$seconds" "${urls[@]}"
}

# Names control hosts c1, c2, ... and router hosts r1, r2, ..., and chooses their ports and the secrets:
# plan_fleet CONTROLS ROUTERS
plan_fleet() {
  local i ports
  controls=()
  routers=()
  for ((i = 1; i <= $1; i++)); do controls+=("c$i"); done
  for ((i = 1; i <= $2; i++)); do routers+=("r$i"); done
  read -ra ports < <("$standin" ports --count $((2 * ($1 + $2))))
  i=0
  for host in "${controls[@]}" "${routers[@]}"; do
    http[$host]="127.0.0.1:${ports[i]}"
    peer[$host]="127.0.0.1:${ports[i + 1]}"
    i=$((i + 2))
  done
  cluster_key="$(random_hex 24)"
  upstream_key="$(random_hex 24)"
  operator_token="$(random_hex 24)"
  export GOLDCRESTFALL_UPSTREAM_KEY="$upstream_key"
  export GOLDCRESTFALL_TOKEN="$operator_token"
  GOLDCRESTFALL_SERVER="$(for host in "${controls[@]}" "${routers[@]}"; do echo "${http[$host]}"; done | paste -sd,)"
  export GOLDCRESTFALL_SERVER
  router_list="$(for host in "${routers[@]}"; do echo "${http[$host]}"; done | paste -sd,)"
}

# Writes the settings file of one host: write_settings HOST ROLE ZONE
write_settings() {
  local host="$1" role="$2" zone="$3" members="" seeds="" other
  for other in "${controls[@]}"; do
    members+="${members:+, }{\"host\": \"$other\", \"address\": \"${peer[$other]}\"}"
    seeds+="${seeds:+, }\"${peer[$other]}\""
  done
  cat >"$folder/$host.json" <<SETTINGS
{"host": "$host", "zone": "$zone", "roles": ["$role"],
 "http": {"address": "127.0.0.1", "port": ${http[$host]##*:}},
 "peer": {"address": "127.0.0.1", "port": ${peer[$host]##*:}, "key": "$cluster_key"},
 "seeds": [$seeds],
 "controlMembers": [$members],
 "dataFolder": "$folder/data/$host",
 "operators": [{"name": "ana", "tokenSha256": "$(sha256 "$operator_token")"}],
 "upstreamKeySha256": "$(sha256 "$upstream_key")",
 "log": {"format": "text", "level": "INFO"},
 "limits": {"maxBodyBytes": 1048576, "maxHeaderBytes": 16384, "maxQueuedRequests": 512, "maxQueuedBytes": 16777216},
 "drain": {"notReadyMillis": 500, "maxMillis": 30000}}
SETTINGS
}

# Writes all settings files, starts all daemons and waits until they are ready.
start_fleet() {
  local i=0 zones=(zone-a zone-b zone-c) host
  for host in "${controls[@]}"; do
    write_settings "$host" control "${zones[i++ % 3]}"
  done
  i=0
  for host in "${routers[@]}"; do
    write_settings "$host" router "${zones[i++ % 3]}"
  done
  mkdir -p "$folder/data"
  for host in "${controls[@]}" "${routers[@]}"; do
    start_daemon "$host"
  done
  await_ready 40 "${controls[@]}" "${routers[@]}"
}

# Starts the daemon of one host: start_daemon HOST
start_daemon() { start "$1" "$daemon" --settings "$folder/$1.json"; }

# Waits until every router lists all named upstreams: await_upstreams NAME...
await_upstreams() {
  local arguments=() host name
  for host in "${routers[@]}"; do
    arguments+=(--url "http://${http[$host]}/admin/v1/upstreams")
  done
  for name in "$@"; do
    arguments+=(--until-contains "\"$name\"")
  done
  "$standin" call --until-status 200 --timeout-seconds 20 --key "$operator_token" "${arguments[@]}"
}

# Waits until every router accepts the API key: await_key KEY
await_key() {
  local arguments=() host
  for host in "${routers[@]}"; do
    arguments+=(--url "http://${http[$host]}/v1/models")
  done
  "$standin" call --until-status 200 --timeout-seconds 20 --key "$1" "${arguments[@]}"
}

# Creates the workspace "bench" with a large budget, a service and an API key; stores the key in the
# variable key.
set_up_workspace() {
  "$cli" patience set quick --price-per-mille 1000 --deadline-millis 30000 --priority 10 \
    --reserved-share-per-mille 300 --confirm >"$folder/setup.log" || return 1
  "$cli" patience set patient --price-per-mille 400 --deadline-millis 60000 --priority 1 \
    --reserved-share-per-mille 200 --confirm >>"$folder/setup.log" || return 1
  "$cli" workspace create bench --default-class quick --tradeoff available --confirm \
    >>"$folder/setup.log" || return 1
  "$cli" service define workshop --price-tokens 7 --idempotent-methods GET --confirm \
    >>"$folder/setup.log" || return 1
  "$cli" budget top-up bench --tokens 100000000000 --confirm >>"$folder/setup.log" || return 1
  key="$(text key "$("$cli" key create bench --key-id bench --confirm --output json)")"
  [[ -n "$key" ]] && await_key "$key"
}
