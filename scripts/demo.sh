#!/usr/bin/env bash
# Starts three data centres with two entry VMs each on loopback, runs agent
# programs through them, kills one VM and drains another, and reports.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap finish EXIT
trap 'echo "demo: failed interrupted"; exit 130' INT TERM

fail() {
  echo "--- last log lines"
  tail -n 5 "$work"/*.log
  echo "demo: failed $*"
  exit 1
}

start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_$name=$!"
}

# reap waits for a process and removes it from the processes that finish kills.
reap() {
  local kept=() pid
  for pid in "${pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
  pids=("${kept[@]}")
  wait "$1"
}

wait_http() {
  for _ in $(seq 200); do
    curl -fsS -o /dev/null "http://$1" 2>/dev/null && return 0
    sleep 0.1
  done
  fail "$1 does not answer"
}

echo "demo: building"
make -s build || fail build
rail=bin/hawthornrail
standin=bin/standin
platform=127.0.0.1:17000
secret=$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')

{
  echo '['
  for dc in 1 2 3; do
    for n in 1 2; do
      echo "{\"kind\":\"vm\",\"name\":\"vm$dc$n\",\"value\":{\"data_centre\":\"dc$dc\",\"address\":\"127.0.0.1:172$dc$n\"}},"
      echo "{\"kind\":\"endpoint\",\"name\":\"engine$dc$n\",\"value\":{\"kind\":\"engine\",\"data_centre\":\"dc$dc\",\"address\":\"127.0.0.1:175$dc$n\",\"serves\":[\"counter\"],\"slots\":8}},"
    done
    echo "{\"kind\":\"endpoint\",\"name\":\"orders$dc\",\"value\":{\"kind\":\"service\",\"data_centre\":\"dc$dc\",\"address\":\"127.0.0.1:176$dc\",\"serves\":[\"orders\"]}}"
    [ "$dc" = 3 ] || echo ','
  done
  echo ']'
} >"$work/seed.json"

echo "demo: starting the platform, engines and services"
start platform $standin platform --listen $platform --seed "$work/seed.json"
for dc in 1 2 3; do
  for n in 1 2; do start "engine$dc$n" $standin engine --listen "127.0.0.1:175$dc$n"; done
  start "orders$dc" $standin service --listen "127.0.0.1:176$dc"
done
wait_http "$platform/v1/objects"

echo "demo: starting six entry VMs in three data centres"
for dc in 1 2 3; do
  for n in 1 2; do
    cat >"$work/vm$dc$n.toml" <<EOF
[vm]
name = "vm$dc$n"
data_centre = "dc$dc"
[caller]
address = "127.0.0.1:171$dc$n"
plain = true
[operator]
address = "127.0.0.1:173$dc$n"
[peer]
address = "127.0.0.1:172$dc$n"
secret = "$secret"
plain = true
[platform]
address = "$platform"
EOF
    $rail check --settings "$work/vm$dc$n.toml" >/dev/null || fail settings
    start "vm$dc$n" $rail serve --settings "$work/vm$dc$n.toml"
  done
done
for dc in 1 2 3; do for n in 1 2; do wait_http "127.0.0.1:171$dc$n/health"; done; done

echo "demo: applying a configuration and issuing a key"
cat >"$work/branch.toml" <<'EOF'
[parameters.team]
type = "string"
required = true
[parameters.rate]
type = "number"
unit = "requests/s"
required = true
[deployment]
team = "${team}"
rate_per_second = "${rate}"
burst = "${rate}"
models = ["counter"]
services = ["orders"]
[deployment.budget]
calls = 100
tokens = 100000
wall_time = "5m"
depth = 2
children = 20
EOF
cat >"$work/counter.toml" <<EOF
template = "branch"
[parameters]
team = "cordillera"
rate = 6000.0
EOF
$rail template apply "$work/branch.toml" --platform $platform || fail template
$rail deployment apply "$work/counter.toml" --platform $platform || fail apply
key=$($rail key issue counter --platform $platform) || fail key
$rail deployment status counter --wait --timeout 20s --address 127.0.0.1:17311 --platform $platform || fail status

vms=()
for dc in 1 2 3; do for n in 1 2; do vms+=(--vm "127.0.0.1:171$dc$n"); done; done
echo "demo: running programs through all VMs"
$standin caller "${vms[@]}" --key "$key" --programs "${DEMO_PROGRAMS:-600}" --pause 300ms --concurrent 40 \
  >"$work/report" 2>"$work/progress" &
caller=$!
pids+=($caller)
tail -f "$work/progress" &
pids+=($!)

sleep 3
echo "demo: killing VM vm12 with SIGKILL"
kill -9 "$pid_vm12"
reap "$pid_vm12" 2>/dev/null
sleep 4
echo "demo: draining VM vm31"
$rail drain --address 127.0.0.1:17331 >/dev/null || fail drain
reap "$pid_vm31" || fail "VM vm31 did not shut down cleanly"
echo "demo: VM vm31 has shut down"
reap "$caller"
code=$?
cat "$work/report"
[ $code = 0 ] || fail "a promise was broken"

# Checks the services' own counts of executions, which are independent of the
# scheduler, for requests that ran twice.
for dc in 1 2 3; do
  curl -fsS "http://127.0.0.1:176$dc/control/counts" >"$work/counts$dc" || fail counts
  sed 's/"caller_keys_seen":[0-9]*//' "$work/counts$dc" | grep -qE '":([2-9]|[1-9][0-9]+)[,}]' && fail "a request ran twice"
  grep -q '"caller_keys_seen":0' "$work/counts$dc" || fail "a service saw a caller's key"
done
turns=$(awk '/^turns/ {print $2}' "$work/report")
programs=$(awk '/^programs/ {print $2}' "$work/report")
echo "demo: ok $programs programs, $turns turns, one VM killed, one drained"
