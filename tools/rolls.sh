#!/usr/bin/env bash
# Measures how long the roll command takes, and the time from its answer until the new revision is in force on all connected hosts:
# without faults, with a balancer killed and restarted before each roll, and with the leader killed right before each roll.
set -euo pipefail
. "$(dirname "$0")/deployment.sh"

rolls=${1:-20}

start_deployment

version=1

milliseconds() { echo $(($(date +%s%N) / 1000000)); }

prepare_bundle() {
    version=$((version + 1))
    local file="bundle-inspect-desk-$version"
    "$bin/jjq" bundle create --service inspect-desk --bundle-version "$version" --address "10.0.0.1:4433" --server-name 'desk-*' --slots 3 --out "$file.bundle" >/dev/null
    "$bin/jjq" sign --bundle "$file.bundle" --key keys/signer.key --signer amina --out "$file.sig" >/dev/null
    jjq propose --bundle "$file.bundle" >/dev/null
    jjq submit --signature "$file.sig" >/dev/null
}

# Rolls the prepared bundle. Prints the time of the command and the time from its answer until the bundle is in force on all hosts, in
# milliseconds.
measure_roll() {
    local before answered
    before=$(milliseconds)
    jjq roll --service inspect-desk --bundle-version "$version" >/dev/null
    answered=$(milliseconds)
    wait_for 30 "version $version is in force" no_host_lags
    echo "$((answered - before)) $(($(milliseconds) - answered))"
}

summarise() { # NAME FILE
    for column in 1 2; do
        [ $column = 1 ] && what="roll command" || what="answer to in force"
        sort -n -k$column "$2" | awk -v column=$column -v name="$1" -v what="$what" \
            '{ value[NR] = $column } END { printf "%-34s %-20s n=%-3d median=%d ms p99=%d ms worst=%d ms\n", name, what, NR, value[int((NR + 1) / 2)], value[int(NR * 0.99 + 0.999)], value[NR] }'
    done
}

leader_name() { jjq status --output json | tr -d ' \n' | grep -o '"host":"control-[0-9]","leader":true' | grep -o 'control-[0-9]'; }

say "healthy"
for _ in $(seq "$rolls"); do
    prepare_bundle
    measure_roll
done >healthy
summarise healthy healthy

say "balancer entry-1 killed and started again before each roll"
for _ in $(seq "$rolls"); do
    prepare_bundle
    stop entry-1 KILL
    wait "${pids[entry-1]}" 2>/dev/null || true
    start entry-1 jjq-balancer --settings entry-1.toml
    measure_roll
done >churn
summarise "balancer restarted" churn

say "leader killed right before the roll, started again afterwards"
for _ in $(seq $(((rolls + 3) / 4))); do
    prepare_bundle
    leader_host=$(leader_name)
    stop "$leader_host" KILL
    wait "${pids[$leader_host]}" 2>/dev/null || true
    measure_roll
    start "$leader_host" jjq-control --settings "$leader_host.toml"
    wait_for 20 "$leader_host is reachable again" sh -c "$bin/jjq status --settings operator.toml --output json | tr -d ' \n' | grep -q '\"host\":\"$leader_host\",\"leader\":[a-z]*,\"reachable\":true'"
done >failover
summarise "leader killed" failover
