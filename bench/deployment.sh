# The deployment that bench/run measures: three data centres on loopback, each with a control, a
# router, three engines and a service. Sourced; uses Bin, Run, Pids, Out and metric.

Centres=(one two three)
Platform=127.21.0.1:7000
BenchToken=bench-token
trap stop_all EXIT

stop_all() {
  local Index
  for ((Index = ${#Pids[@]} - 1; Index >= 0; Index--)); do
    kill "${Pids[Index]}" 2>/dev/null
    wait "${Pids[Index]}" 2>/dev/null
  done
  Pids=()
}

# Starts a program and waits for its "listening" line; its pid is in $Run/NAME.pid.
start() {
  local Name=$1
  shift
  "$@" >"$Run/$Name.out" 2>"$Run/$Name.log" &
  Pids+=($!)
  echo $! >"$Run/$Name.pid"
  for _ in $(seq 200); do
    grep -q '^listening' "$Run/$Name.out" && return 0
    sleep 0.05
  done
  echo "$Name did not start" >&2
  tail -5 "$Run/$Name.log" >&2
  return 1
}

write_settings() {
  local Index=$1 Centre=$2 Other
  {
    printf 'instance: entry-%s\ndata-center: %s\n' "$Centre" "$Centre"
    printf 'frame-listen: 127.21.%s.30:7000\nadmin-listen: 127.21.%s.30:7001\n' "$Index" "$Index"
    printf 'platform: %s\npeers:\n' $Platform
    for Other in 1 2 3; do
      [ "$Other" = "$Index" ] || echo "  - 127.21.$Other.30:7000"
    done
    echo "data-centers: [one, two, three]"
    echo "bootstrap-token-hash: \"$TokenHash\""
    echo "log: {level: warning}"
  } >"$Run/control-$Centre.yaml"
  {
    printf 'instance: entry-%s\ndata-center: %s\n' "$Centre" "$Centre"
    printf 'listen: 127.21.%s.40:8080\nstate-listen: 127.21.%s.40:8081\ncontrols:\n' "$Index" "$Index"
    for Other in "$Index" $((Index % 3 + 1)) $(((Index + 1) % 3 + 1)); do
      echo "  - 127.21.$Other.30:7000"
    done
    echo "shutdown: {grace: 100ms, limit: 10s}"
    echo "log: {level: info}"
  } >"$Run/router-$Centre.yaml"
}

start_deployment() {
  local Index Centre Stage
  TokenHash=$("$Bin/rattancartctl" hash-token $BenchToken) || return 1
  start platform "$Bin/rattancart-fake-platform" --listen $Platform || return 1
  for Index in 1 2 3; do
    Centre=${Centres[Index - 1]}
    write_settings $Index "$Centre"
    for Stage in 0 1 2; do
      start "engine-$Centre-$Stage" "$Bin/rattancart-fake-engine" \
        --listen 127.21.$Index.1$Stage:7000 --id "engine-$Centre-$Stage" --data-center "$Centre" \
        --platform $Platform --model brief --version 3 \
        --layers $((Stage * 16))-$((Stage * 16 + 16)) --layer-count 48 --step-us 2000 \
        --prefill-us 100 || return 1
    done
    start "desk-$Centre" "$Bin/rattancart-fake-service" --listen 127.21.$Index.20:7000 \
      --id "desk-$Centre" --data-center "$Centre" --platform $Platform --service lift-desk || return 1
  done
  for Centre in "${Centres[@]}"; do
    start "control-$Centre" "$Bin/rattancart-control" --settings "$Run/control-$Centre.yaml" || return 1
  done
  for Centre in "${Centres[@]}"; do
    start "router-$Centre" "$Bin/rattancart-router" --settings "$Run/router-$Centre.yaml" || return 1
  done
  Ctl=("$Bin/rattancartctl" --control 127.21.1.30:7001 --token $BenchToken)
  "${Ctl[@]}" apply bench/deployment.yaml >/dev/null || return 1
  for Index in 1 2 3; do
    for _ in $(seq 200); do
      router_state $Index >"$Run/state" &&
        [ "$(jq '[.endpoints[] | select(.may_take_work)] | length' "$Run/state")" = 12 ] &&
        [ "$(jq '.view.settings_offset' "$Run/state")" -ge 0 ] && break
      sleep 0.05
    done
  done
}

router_state() { curl -sS -m 5 "http://127.21.$1.40:8081/v1/state"; }
# Prints the CPU seconds that a process has used.
cpu_seconds() { awk -v Hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / Hz }' "/proc/$1/stat"; }
rss_mb() { awk '/^VmRSS/ { print $2 / 1024 }' "/proc/$1/status"; }

# Measures the controls under mixed load; the results are means of the three.
measure_control() {
  local Centre Sum=0 Rss=0 Bytes=0 Pid
  declare -A Cpu Link
  for Centre in "${Centres[@]}"; do
    Cpu[$Centre]=$(cpu_seconds "$(cat "$Run/control-$Centre.pid")")
    Link[$Centre]=$(control_bytes "$Centre")
  done
  "$Bin/rattancart-load" run bench/experiments/http-mixed.yaml >"$Run/mixed.out" 2>/dev/null
  sed '/^$/q' "$Run/mixed.out"
  sed '1,/^$/d' "$Run/mixed.out" >>"$Out"
  for Centre in "${Centres[@]}"; do
    Pid=$(cat "$Run/control-$Centre.pid")
    Sum=$(awk "BEGIN { print $Sum + $(cpu_seconds "$Pid") - ${Cpu[$Centre]} }")
    Rss=$(awk "BEGIN { print $Rss + $(rss_mb "$Pid") }")
    Bytes=$(awk "BEGIN { print $Bytes + $(control_bytes "$Centre") - ${Link[$Centre]} }")
  done
  metric control_cpu_share "$(awk "BEGIN { print $Sum / 3 / 20 }")" of-a-core
  metric control_rss_mb "$(awk "BEGIN { print $Rss / 3 }")" MB
  metric control_bytes_per_s "$(awk "BEGIN { print $Bytes / 3 / 20 }")" B/s
}

# Prints the bytes that a control has sent to and received from routers and other controls.
control_bytes() {
  local Index
  for Index in 1 2 3; do
    [ "${Centres[Index - 1]}" = "$1" ] || continue
    curl -sS -m 5 -H "authorization: Bearer $BenchToken" "http://127.21.$Index.30:7001/v1/state" |
      jq '.bytes.links_in + .bytes.links_out'
  done
}

# Measures the CPU time per status lookup through a router and through a bare relay, at the same
# rate.
measure_relay() {
  local Pid Before Done Name
  start relay "$Bin/bare-relay" 127.21.1.50 8080 127.21.1.20 7000 || return 1
  declare -A Cost
  for Name in router relay; do
    Pid=$(cat "$Run/$Name-one.pid" 2>/dev/null || cat "$Run/$Name.pid")
    Before=$(cpu_seconds "$Pid")
    "$Bin/rattancart-load" run bench/experiments/http-$Name.yaml >"$Run/by-$Name.out" 2>/dev/null
    sed '1,/^$/d' "$Run/by-$Name.out" >>"$Out"
    Done=$(awk -v N="by_$Name.status.done" '$1 == N { print $2 * 8 }' "$Out")
    Cost[$Name]=$(awk "BEGIN { print ($(cpu_seconds "$Pid") - $Before) / $Done }")
    metric "requests_per_core_$Name" "$(awk "BEGIN { print 1 / ${Cost[$Name]} }")" 1/s
  done
  metric relay_over_bare "$(awk "BEGIN { print ${Cost[relay]} / ${Cost[router]} }")" ratio
}

# Measures the time from the start of a settings change until all three routers use it: the longest
# of 20 changes.
measure_spread() {
  local Change Begin Index Offset Worst=0 Took
  for Change in $(seq 20); do
    sed "s/requests-per-second: 100000/requests-per-second: $((100000 + Change))/" \
      bench/deployment.yaml >"$Run/change.yaml"
    Begin=$(date +%s%N)
    "${Ctl[@]}" apply "$Run/change.yaml" >/dev/null || return 1
    Offset=$(curl -sS -H "authorization: Bearer $BenchToken" http://127.21.1.30:7001/v1/state |
      jq '.settings.offset // .settings_offset // .view.settings_offset')
    for Index in 1 2 3; do
      for _ in $(seq 500); do
        [ "$(router_state $Index | jq '.view.settings_offset')" -ge "$Offset" ] && break
      done
    done
    Took=$(($(date +%s%N) - Begin))
    [ "$Took" -gt "$Worst" ] && Worst=$Took
  done
  metric settings_spread_p99_s "$(awk "BEGIN { print $Worst / 1e9 }")" s
}

# Sends a brief of $1 tokens and prints how many milliseconds it takes.
brief_ms() {
  curl -sS -m 60 -o "$Run/answer" -w '%{time_total}' http://127.21.1.40:8080/briefs \
    -H 'x-customer: crew-1' -H 'content-type: application/json' \
    -d "{\"prompt\":\"handover note $RANDOM #$1\"}" | awk '{ print $1 * 1000 }'
}

median() { sort -n | awk '{ V[NR] = $1 } END { print V[int((NR + 1) / 2)] }'; }

# Measures the recovery when a middle stage closes its connections during a brief: the additional
# time that the brief takes, also relative to the time of a normal step and prefill.
measure_recovery() {
  local Plain Short Step Failed Before Took
  Plain=$(for _ in 1 2 3 4 5 6 7; do brief_ms 64; done | median)
  Short=$(for _ in 1 2 3 4 5 6 7; do brief_ms 8; done | median)
  Step=$(awk "BEGIN { print ($Plain - $Short) / 56 }")
  : >"$Run/failed"
  for _ in $(seq 24); do
    Before=$(grep -c 'event=5002' "$Run/router-one.log")
    curl -sS -o /dev/null -d '{"cut_after_steps":30}' http://127.21.1.11:7000/faults
    Took=$(brief_ms 64)
    curl -sS -o /dev/null -d '{"down":false,"cut_after_steps":0}' http://127.21.1.11:7000/faults
    [ "$(grep -c 'event=5002' "$Run/router-one.log")" -gt "$Before" ] &&
      grep -q '"tokens":64' "$Run/answer" && echo "$Took" >>"$Run/failed"
    sleep 0.3
  done
  metric recovery_runs "$(wc -l <"$Run/failed")" runs
  metric plain_step_ms "$Step" ms
  [ -s "$Run/failed" ] || { echo "recovery_over_plain_step not-measured" >>"$Out"; return; }
  Failed=$(median <"$Run/failed")
  metric recovery_ms "$(awk "BEGIN { print $Failed - $Plain }")" ms
  metric recovery_over_plain_step \
    "$(awk "BEGIN { print ($Failed - $Plain) / ($Step + $Short - 8 * $Step) }")" ratio
}
