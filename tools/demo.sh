#!/usr/bin/env bash
# Sends traffic through all balancers of one deployment while a balancer is killed, a backend server drains, a bundle is
# rolled and the flow key is replaced, and prints a summary. Exit status 0 only if no flow, request, answer or feed record was
# lost, repeated or misrouted.
set -euo pipefail
. "$(dirname "$0")/deployment.sh"

start_deployment

say "sending traffic for 20 s: findings and gauge streams to inspect-desk, downloads from cert-vault"
start callers-desk jjq-call --settings caller-desk.toml --service inspect-desk --path /work --callers 60 --feeds 1 --rate 200 --requests 0 --duration-s 20
start callers-vault jjq-call --settings caller-vault.toml --service cert-vault --path '/download?bytes=20000' --callers 30 --rate 100 --requests 0 --duration-s 20
sleep 3
say "  killing balancer entry-1"
stop entry-1 KILL
wait "${pids[entry-1]}" 2>/dev/null || true
sleep 1
say "  draining backend server desk-2"
stop agent-desk-2 TERM
sleep 2
say "  rolling inspect-desk version 2"
roll_bundle inspect-desk 2 4433 desk-
rolled_at=$(date +%s%N)
wait_for 5 "version 2 is in force on all connected hosts" no_host_lags
in_force_ms=$((($(date +%s%N) - rolled_at) / 1000000))
say "  replacing flow key 0 by flow key 1"
"$bin/jjq-keygen" flow-secret --directory keys --name flow-1 >/dev/null
jjq keys flow-add --number 1 --secret keys/flow-1.secret >/dev/null
wait_for 5 "flow key 1 is active" jjq keys flow-activate --number 1
say "  starting balancer entry-1 again"
start entry-1 jjq-balancer --settings entry-1.toml
wait_for 15 "no flow uses flow key 0" jjq keys flow-retire --number 0
say "  flow key 0 is retired, $SECONDS s after the start of the demonstration"
for callers in callers-desk callers-vault; do
    wait "${pids[$callers]}" || say "  $callers ended with status $?"
    unset "pids[$callers]"
done

wrong_service_drops=0
for server in "${servers[@]}"; do
    [ "$server" = desk-2 ] && continue
    case $server in
    desk-*) address="127.0.0.3${server#desk-}" ;;
    *) address="127.0.0.4${server#vault-}" ;;
    esac
    metrics_of "$address" >"log/$server.metrics"
    drops=$(awk '/dropped_datagrams.*wrong-service/ { sum += $NF } END { print sum + 0 }' "log/$server.metrics")
    wrong_service_drops=$((wrong_service_drops + drops))
done
wait_for 5 "the newest revision is in force on all connected hosts" no_host_lags

for server in "${servers[@]}"; do stop "agent-$server" TERM; done
for server in "${servers[@]}"; do wait "${pids[agent-$server]}" 2>/dev/null || true; done
for server in "${servers[@]}"; do stop "backend-$server" TERM; done
for server in "${servers[@]}"; do wait "${pids[backend-$server]}" 2>/dev/null || true; done

cat executions/desk-* 2>/dev/null | awk '{ count[$1] += $2 } END { for (id in count) if (count[id] > 1) repeated++; print repeated + 0 }' >repeated
cat executions/desk-* | awk '{ split($1, part, "-"); print part[1] }' | sort -u >desk-callers
cat executions/vault-* | awk '{ split($1, part, "-"); print part[1] }' | sort -u >vault-callers
misrouted=$(comm -12 desk-callers vault-callers | wc -l)
imbalance=$(for server in "${servers[@]}"; do
    case $server in
    desk-2 | vault-*) ;;
    desk-*) awk '{ sum += $2 } END { print sum + 0 }' "executions/$server" ;;
    esac
done | awk '{ sum += $1; if ($1 > max) max = $1 } END { if (sum) printf "%.2f", max * NR / sum; else print "none" }')

total() { echo $(($(summary_value callers-desk "$1") + $(summary_value callers-vault "$1"))); }
repeated=$(cat repeated)
say ""
printf '%-42s %s\n' "flows opened" "$(total flows_opened)" "flows broken" "$(total flows_broken)" \
    "requests answered" "$(total answered)" "requests refused as not run" "$(total refused)" \
    "requests with an unknown outcome" "$(total unknown)" "incomplete answers" "$(total incomplete)" \
    "feed records missed or repeated" "$(($(total feed_gaps) + $(total feed_repeats)))" \
    "non-idempotent requests run twice" "$repeated" "requests run at a wrong service" "$misrouted" \
    "packets dropped as of the wrong service" "$wrong_service_drops" \
    "imbalance (busiest server to mean, requests)" "$imbalance" "time from roll to in force everywhere, ms" "$in_force_ms"
lost=$(($(total flows_broken) + $(total unknown) + $(total incomplete) + $(total feed_gaps) + $(total feed_repeats) + repeated + misrouted))
answered=$(total answered)
if [ "$lost" -ne 0 ] || [ "$answered" -eq 0 ]; then
    say "FAILED: $lost losses, repetitions and misrouted requests, $answered requests answered"
    exit 1
fi
say "PASSED: nothing was lost, repeated or misrouted"
