# Functions that start a deployment as processes on loopback addresses: 3 control hosts, 4 balancers (entry-1 to entry-4) in 4
# availability zones, and 7 + 4 backend servers with their agents. The scripts in this directory source it. When such a script
# exits, all processes are killed and all files are deleted; JUJUBEQUAY_DEMO_LOGS names a directory to which the logs are copied.

bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/../build" && pwd)
work=$(mktemp -d "${TMPDIR:-/tmp}/jujubequay-demo.XXXXXX")
keep_logs=${JUJUBEQUAY_DEMO_LOGS:-}
declare -A pids=()

clean_up() {
    trap - EXIT INT TERM
    # Hides the messages that the shell prints for each killed process.
    exec 2>/dev/null
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ -n "$keep_logs" ]; then cp -r "$work/log" "$keep_logs"; fi
    rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 130' INT TERM

cd "$work"
mkdir keys log data executions
zones=(dar-kariakoo dar-mikocheni dar-kurasini dar-ubungo)
desk_count=7
vault_count=4

say() { printf '%s\n' "$*"; }

start() { # NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    "$bin/$1" "${@:2}" >"log/$name.out" 2>"log/$name.err" &
    pids[$name]=$!
}

stop() { # NAME SIGNAL
    kill "-$2" "${pids[$1]}" 2>/dev/null || true
}

wait_for() { # SECONDS DESCRIPTION COMMAND...
    local deadline=$((SECONDS + $1)) description=$2
    shift 2
    until "$@" >wait_for.out 2>&1; do
        if [ $SECONDS -ge $deadline ]; then
            say "timed out: $description"
            cat wait_for.out
            tail -n 3 log/*.err
            exit 1
        fi
        sleep 0.1
    done
}

jjq() { "$bin/jjq" "$@" --settings operator.toml; }

control_sections() {
    for number in 1 2 3; do
        printf '\n[[control_host]]\nname = "control-%s"\naddress = "127.0.0.1%s:7400"\n' "$number" "$number"
    done
}

tls_section() { # NAME
    printf '\n[tls]\nauthority_file = "keys/authority.crt"\ncertificate_file = "keys/%s.crt"\nkey_file = "keys/%s.key"\n' "$1" "$1"
}

placement() { # NAME ZONE
    printf 'host_name = "%s"\navailability_zone = "%s"\nregion = "tz-coast"\n' "$1" "$2"
}

certificate() { # NAME ROLE
    "$bin/jjq-keygen" certificate --directory keys --name "$1" --role "$2" >/dev/null
}

write_settings() {
    "$bin/jjq-keygen" authority --directory keys --name authority >/dev/null
    certificate operator operator
    { printf 'operator_name = "operator"\n'; tls_section operator; control_sections; } >operator.toml
    for service in inspect-desk cert-vault; do certificate "$service" agent; done
    for number in 1 2 3; do
        certificate "control-$number" control
        {
            placement "control-$number" "${zones[$((number - 1))]}"
            printf 'control_address = "127.0.0.1%s:7400"\ndata_directory = "data/control-%s"\n' "$number" "$number"
            tls_section "control-$number"
            control_sections
        } >"control-$number.toml"
    done
    for number in 1 2 3 4; do
        certificate "entry-$number" balancer
        {
            placement "entry-$number" "${zones[$((number - 1))]}"
            printf 'relay_address = "127.0.0.2%s:4400"\npeer_address = "127.0.0.2%s:7401"\n' "$number" "$number"
            printf 'metrics_address = "127.0.0.2%s:7480"\npeers = [' "$number"
            for peer in 1 2 3 4; do [ "$peer" = "$number" ] || printf '"127.0.0.2%s:7401",' "$peer"; done
            printf ']\n'
            tls_section "entry-$number"
            printf '\n[[caller_address]]\nservice = "inspect-desk"\naddress = "127.0.0.2%s:4433"\n' "$number"
            printf '\n[[caller_address]]\nservice = "cert-vault"\naddress = "127.0.0.2%s:4434"\n' "$number"
            control_sections
        } >"entry-$number.toml"
    done
    for number in $(seq $desk_count); do write_server "desk-$number" inspect-desk "127.0.0.3$number" "$number"; done
    for number in $(seq $vault_count); do write_server "vault-$number" cert-vault "127.0.0.4$number" "$number"; done
    write_caller desk critical false 4433 inspect-desk
    write_caller vault bulk true 4434 cert-vault
}

write_server() { # NAME SERVICE ADDRESS NUMBER
    certificate "host-$1" agent
    {
        placement "host-$1" "${zones[$((($4 - 1) % 4))]}"
        printf 'server_name = "%s"\nservice = "%s"\nrelay_address = "%s:4500"\nbackend_address = "%s:8080"\n' "$1" "$2" "$3" "$3"
        printf 'renew_interval_ms = 1000\nmetrics_address = "%s:7480"\n' "$3"
        printf '\n[quic]\ncertificate_file = "keys/%s.crt"\nkey_file = "keys/%s.key"\n' "$2" "$2"
        tls_section "host-$1"
        control_sections
    } >"agent-$1.toml"
    {
        printf 'address = "%s:8080"\nslots = 3\nfeed_interval_ms = 100\n' "$3"
        printf '\n[work]\ndistribution = "exponential"\nmean_ms = 20\nseed = %s\n' "$4"
    } >"backend-$1.toml"
}

write_caller() { # NAME CLASS IDEMPOTENT PORT SERVICE
    {
        printf 'customer = "mtibwa-sugar"\nbalancers = ['
        for number in 1 2 3 4; do printf '"127.0.0.2%s:%s",' "$number" "$4"; done
        printf ']\ntrusted_certificate_file = "keys/authority.crt"\nwork_class = "%s"\nidempotent = %s\ndeadline_ms = 10000\nretries = 5\n' "$2" "$3"
    } >"caller-$1.toml"
}

roll_bundle() { # SERVICE VERSION ADDRESS_PORT NAME_PREFIX
    local file="bundle-$1-$2"
    "$bin/jjq" bundle create --service "$1" --bundle-version "$2" --address "10.0.0.1:$3" --server-name "$4*" --slots 3 --out "$file.bundle" >/dev/null
    "$bin/jjq" sign --bundle "$file.bundle" --key keys/signer.key --signer amina --out "$file.sig" >/dev/null
    jjq propose --bundle "$file.bundle" >/dev/null
    jjq submit --signature "$file.sig" >/dev/null
    jjq roll --service "$1" --bundle-version "$2" >/dev/null
}

metrics_of() { # ADDRESS
    exec 9<>"/dev/tcp/$1/7480"
    printf 'GET /metrics HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$1" >&9
    cat <&9
    exec 9>&-
}

# Succeeds if the registry of a balancer has at least COUNT backend servers that accept new work.
has_servers() { # NUMBER_OF_ENTRY_HOST COUNT
    metrics_of "127.0.0.2$1" | awk -v least="$2" '/^jujubequay_serving_servers / { serving = $2 } END { exit !(serving >= least) }'
}

# Prints the number of connected hosts on which the newest revision is not in force yet.
lagging_hosts() {
    jjq status --output json | awk '/"connected"/ { connected = /true/ } /"lagging"/ { if (connected && /true/) count++ } END { print count + 0 }'
}

no_host_lags() { [ "$(lagging_hosts)" -eq 0 ]; }

summary_value() { # FILE KEY
    tr ' ' '\n' <"log/$1.out" | awk -F= -v key="$2" '$1 == key { print $2 }'
}

start_deployment() {
    say "writing keys and settings"
    write_settings

    say "starting 3 control hosts"
    "$bin/jjq-control" --settings control-1.toml --initialise --found >/dev/null
    for number in 2 3; do
        "$bin/jjq-control" --settings "control-$number.toml" --initialise | awk '$1 == "disk" { print $2 }' >"disk-$number"
    done
    for number in 1 2 3; do start "control-$number" jjq-control --settings "control-$number.toml"; done
    wait_for 15 "control host 1 is the leader" jjq status
    for number in 2 3; do
        wait_for 15 "control host $number joins" jjq members add --host "control-$number" --address "127.0.0.1$number:7400" --disk "$(cat "disk-$number")"
    done

    say "signing and rolling bundles"
    "$bin/jjq" keygen --out keys/signer.key >/dev/null
    jjq keys signer-add --service '*' --signer amina --public-key keys/signer.key.pub >/dev/null
    "$bin/jjq-keygen" flow-secret --directory keys --name flow-0 >/dev/null
    jjq keys flow-add --number 0 --secret keys/flow-0.secret --activate >/dev/null
    roll_bundle inspect-desk 1 4433 desk-
    roll_bundle cert-vault 1 4434 vault-

    say "starting 4 balancers and 11 backend servers with their agents"
    for number in 1 2 3 4; do start "entry-$number" jjq-balancer --settings "entry-$number.toml"; done
    servers=()
    for number in $(seq $desk_count); do servers+=("desk-$number"); done
    for number in $(seq $vault_count); do servers+=("vault-$number"); done
    for server in "${servers[@]}"; do
        start "backend-$server" jjq-backend --settings "backend-$server.toml" --executions-file "executions/$server"
        start "agent-$server" jjq-agent --settings "agent-$server.toml"
    done
    for number in 1 2 3 4; do wait_for 20 "entry-$number has all backend servers in its registry" has_servers "$number" 11; done
}
