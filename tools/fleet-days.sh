#!/usr/bin/env bash
# Plays days of a site on the users' bench one by one with the logs of all processes, and keeps the logs and the report of each day that breaks
# a rule or ends with a fault. A rare failure does not repeat with its seed, so logs have to be written the first time.
#
# Usage: fleet-days.sh BENCH SITE DAYS FIRST_SEED OUTPUT_FOLDER
# Exit status: 0 if no day has failed, 1 otherwise.
set -euo pipefail
bench=$1 site=$2 days=$3 seed=$4 output=$5
mkdir -p "$output"
own_days=(deploy/days/*.toml)
failed=0
for ((index = 0; index < days; ++index, ++seed)); do
    # Two of three days draw from all disruptions of the site; the others vary the days of this repository.
    day=(mix)
    if ((index % 3 == 2)); then
        day=("${own_days[index / 3 % ${#own_days[@]}]}" --vary)
    fi
    name=$(basename "${day[0]}" .toml)-$seed
    log=$output/$name.log report=$output/$name.json
    status=0
    "$bench" run "$site" "${day[@]}" --seed "$seed" --jobs 1 --log all --report "$report" --why "days with logs" >"$log" 2>&1 || status=$?
    if [ "$status" -eq 0 ] && grep -q '"breaks": {}' "$report" && grep -q '"fault": null' "$report"; then
        rm "$log" "$report"
    else
        failed=$((failed + 1))
        echo "$name: status $status, logs in $log"
    fi
done
echo "$days days, $failed failed"
[ "$failed" -eq 0 ]
