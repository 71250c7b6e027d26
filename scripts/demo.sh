#!/usr/bin/env bash
# Starts three data centres with two entry VMs each on loopback, runs agent
# programs through them, kills one VM and drains another, and reports.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
state=failed

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

wait_http() {
  for _ in $(seq 100); do
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
cat >"$work/counter.toml" <<EOF
team = "cordillera"
rate_per_second = 6000.0
burst = 6000.0
models = ["counter"]
services = ["orders"]
[budget]
calls = 100
tokens = 100000
wall_time = "5m"
depth = 2
children = 20
EOF
$rail deployment apply "$work/counter.toml" --platform $platform || fail apply
key=$($rail key issue counter --platform $platform) || fail key
sleep 2

vms=()
for dc in 1 2 3; do for n in 1 2; do vms+=(--vm "127.0.0.1:171$dc$n"); done; done
echo "demo: running programs through all VMs"
$standin caller "${vms[@]}" --key "$key" --programs "${DEMO_PROGRAMS:-400}" >"$work/report" &
caller=$!
pids+=($caller)
wait $caller
code=$?
cat "$work/report"
[ $code = 0 ] || fail "a promise was broken"
echo "demo: ok"
