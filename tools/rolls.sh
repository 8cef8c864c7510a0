#!/usr/bin/env bash
# Measures the time from the answer to a roll until the new revision is in force on all connected hosts, and the time that the
# roll itself takes: healthy, with a control host that does not lead killed, and right after the leader was killed.
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

# Rolls the prepared bundle and prints: time of the command, time from its answer to in force on all hosts.
measure_roll() {
    local before answered
    before=$(milliseconds)
    jjq roll --service inspect-desk --bundle-version "$version" >/dev/null
    answered=$(milliseconds)
    wait_for 30 "version $version is in force" none_lag
    echo "$((answered - before)) $(($(milliseconds) - answered))"
}

summarise() { # NAME FILE
    for column in 1 2; do
        [ $column = 1 ] && what="roll command" || what="answer to in force"
        sort -n -k$column "$2" | awk -v column=$column -v name="$1" -v what="$what" \
            '{ value[NR] = $column } END { printf "%-34s %-20s n=%-3d median=%d ms p99=%d ms worst=%d ms\n", name, what, NR, value[int((NR + 1) / 2)], value[int(NR * 0.99 + 0.999)], value[NR] }'
    done
}

leader() { jjq status --output json | tr -d ' \n' | grep -o '"host":"control-[0-9]","leader":true' | grep -o 'control-[0-9]'; }

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
    leading=$(leader)
    stop "$leading" KILL
    wait "${pids[$leading]}" 2>/dev/null || true
    measure_roll
    start "$leading" jjq-control --settings "$leading.toml"
    wait_for 20 "$leading is back" sh -c "$bin/jjq status --settings operator.toml --output json | tr -d ' \n' | grep -q '\"host\":\"$leading\",\"leader\":[a-z]*,\"reachable\":true'"
done >failover
summarise "leader killed" failover
