#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md with real processes on loopback
# and prints them as JSON lines. Takes about twelve minutes.
set -eu
bin=$1
dir=$(mktemp -d)
started=()
trap 'stop_all; rm -rf "$dir"' EXIT

# start NAME program args...: runs a program and waits for its ready line.
start() {
  local name=$1
  shift
  rm -f "$dir/$name.out"
  "$bin/$1" "${@:2}" >"$dir/$name.out" 2>"$dir/$name.log" &
  started+=($!)
  until [ -s "$dir/$name.out" ]; do
    kill -0 "${started[-1]}" 2>/dev/null || { cat "$dir/$name.log" >&2; exit 1; }
    sleep 0.05
  done
}
# address NAME LISTENER: where a started program listens.
address() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$dir/$1.out" | head -1; }
stop_all() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  started=()
}
entry() {
  start "entry$1" kingcupreeld entry --process "entry$1" --vm "vm-entry$1" --data-centre dc1 --platform "$platform" \
    --drain-notice 0s --drain-timeout 1s --log-level error
}
# listed N: puts entry N into the VM list.
listed() {
  "$bin/kingcupreel-bench" list-vm --platform "$platform" --id "vm-entry$1" --address "$(address "entry$1" inner)"
}
connected() {
  "$bin/kingcupreel-bench" await --ops "http://$(address "$1" ops)" --token operator --connected "$2"
}
# settle: lets the start's configuration traffic pass before a sample at rest.
settle() { sleep 10; }
sample() {
  "$bin/kingcupreel-bench" sample --ops "http://$(address "$1" ops)" --name "$2" --size "$3" --duration 10s
}
platform() {
  start kv kingcupreel-standin kv
  platform="http://$(address kv http)"
}

links() {
  for n in 50 100 200 400; do
    platform
    start upstreams kingcupreel-bench upstreams --platform "$platform" --count "$n"
    entry 1
    connected entry1 "$n"
    settle
    sample entry1 entry-links "$n"
    stop_all
  done
}

# changes: the traffic of an entry's links at one change a second.
changes() {
  for n in 50 100 200; do
    platform
    start upstreams kingcupreel-bench upstreams --platform "$platform" --count "$n"
    entry 1
    connected entry1 "$n"
    settle
    "$bin/kingcupreel-bench" changes --platform "$platform" --duration 14s >/dev/null &
    local changing=$!
    sleep 2
    sample entry1 entry-changes "$n"
    wait "$changing"
    stop_all
  done
}

# shared_changes: the same where several entries are linked to the agents: the
# first to announce a change spares the others. The size is an entry's share.
shared_changes() {
  for n in 1 2 4 8; do
    platform
    start upstreams kingcupreel-bench upstreams --platform "$platform" --count 50
    for i in $(seq "$n"); do entry "$i"; done
    for i in $(seq "$n"); do connected "entry$i" 50; done
    settle
    "$bin/kingcupreel-bench" changes --platform "$platform" --duration 14s >/dev/null &
    local changing=$!
    sleep 2
    sample entry1 shared-changes "$(awk "BEGIN{print 1/$n}")"
    wait "$changing"
    stop_all
  done
}

accounts() {
  for n in 100 400 1600; do
    platform
    start upstreams kingcupreel-bench upstreams --platform "$platform" --count 10 --accounts "$n"
    entry 1
    connected entry1 10
    settle
    sample entry1 entry-accounts "$n"
    stop_all
  done
}

# one_upstream: an engine and its agent, as processes.
one_upstream() {
  start engine kingcupreel-standin engine --capacity 256 --token-time 10ms
  start agent kingcupreeld agent --process agent --data-centre dc1 --upstream u --target "http://$(address engine http)" \
    --workers 512 --log-level error
  start record kingcupreel-bench upstreams --platform "$platform" --count 0 --agent "$(address agent inner)"
}

agent_links() {
  for n in 1 4 8 16; do
    platform
    one_upstream
    for i in $(seq "$n"); do entry "$i"; done
    for i in $(seq "$n"); do connected "entry$i" 1; done
    settle
    sample agent agent-links "$n"
    stop_all
  done
}

peers() {
  for n in 2 4 8 16; do
    platform
    one_upstream
    for i in $(seq "$n"); do entry "$i"; listed "$i"; done
    for i in $(seq "$n"); do connected "entry$i" 1; done
    settle
    sample entry1 entry-peers "$n" &
    local sampling=$!
    "$bin/kingcupreel-bench" calls --platform "$platform" --name kv-entries --size "$n" --duration 10s
    wait "$sampling"
    stop_all
  done
}

agents_calls() {
  for n in 4 8 16; do
    platform
    start upstreams kingcupreel-bench upstreams --platform "$platform" --count "$n"
    entry 1
    listed 1
    connected entry1 "$n"
    settle
    "$bin/kingcupreel-bench" calls --platform "$platform" --name kv-agents --size "$n" --duration 10s
    stop_all
  done
}

tokens() {
  platform
  one_upstream
  entry 1
  connected entry1 1
  for rate in 10 20 40 80; do
    "$bin/kingcupreel-bench" load --target "http://$(address entry1 caller)" --rate "$rate" --duration 14s --stream --tokens 64 >/dev/null &
    local load=$!
    sleep 2
    sample entry1 entry-tokens $((rate * 64)) &
    local sampling=$!
    sample agent agent-tokens $((rate * 64))
    wait "$sampling" "$load"
  done
  stop_all
}

claims() {
  platform
  start plain kingcupreel-standin plain
  start agent kingcupreeld agent --process agent --data-centre dc1 --upstream u --target "http://$(address plain http)" --log-level error
  start record kingcupreel-bench upstreams --platform "$platform" --count 0 --plain-agent "$(address agent inner)"
  entry 1
  connected entry1 1
  for rate in 10 20 40; do
    "$bin/kingcupreel-bench" load --target "http://$(address entry1 caller)" --rate 0.01 --service-calls "$rate" --duration 14s >/dev/null &
    local load=$!
    sleep 2
    "$bin/kingcupreel-bench" calls --platform "$platform" --name kv-claims --size "$rate" --duration 10s
    wait "$load"
  done
  stop_all
}

# group: what the agents of a group with an expert map say to each other.
group() {
  for n in 4 8 16; do
    platform
    start ranks kingcupreel-standin ranks --ranks "$n"
    local agents=()
    for i in $(seq 0 $((n - 1))); do
      start "agent$i" kingcupreeld agent --process "agent$i" --data-centre dc1 --upstream "r$i" \
        --target "http://$(address ranks http)/rank/$i" --log-level error
      agents+=(--rank-agent "$(address "agent$i" inner)")
    done
    start record kingcupreel-bench upstreams --platform "$platform" --count 0 "${agents[@]}"
    entry 1
    connected entry1 "$n"
    settle
    sample agent1 group-agents "$n"
    stop_all
  done
}

for concern in ${CONCERNS:-links changes shared_changes accounts agent_links peers agents_calls tokens claims group}; do
  "$concern" >>"$dir/samples"
done
"$bin/kingcupreel-bench" fit <"$dir/samples"
"$bin/kingcupreel-bench" slopes
