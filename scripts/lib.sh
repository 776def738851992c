# Functions for scripts that start a deployment of processes on the loopback address. Source it.

binary=build/foxtailtally
standin=build/foxtailtally-standin
pids=()

export FOXTAILTALLY_PLATFORM_TOKEN=platform-secret
# The stand-ins use one token for their callers and for the platform.
export FOXTAILTALLY_ENGINE_TOKEN=$FOXTAILTALLY_PLATFORM_TOKEN
export FOXTAILTALLY_SERVICE_TOKEN=$FOXTAILTALLY_PLATFORM_TOKEN
export FOXTAILTALLY_OPERATOR_TOKEN=operator-secret

# start NAME COMMAND...: runs a command in the background with its output in $out/NAME.log.
start() {
    local name=$1
    shift
    "$@" > "$out/$name.log" 2>&1 &
    pids+=("$!")
    declare -g "pid_${name//-/_}=$!"
}

# Ends the processes that this script has started.
stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}

# wait_for URL SECONDS: waits until URL answers with status 200.
wait_for() {
    local tries=$(($2 * 10))
    until curl -sf -o /dev/null --max-time 1 "$1"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "no answer from $1" >&2; return 1; }
        sleep 0.1
    done
}

platform_call() {
    curl -sf -o /dev/null -H "Authorization: Bearer $FOXTAILTALLY_PLATFORM_TOKEN" -H 'Content-Type: application/json' "$@"
}

# start_platform: the platform stand-in.
start_platform() {
    start platform "$standin" platform --port "$platform_port" --token-env FOXTAILTALLY_PLATFORM_TOKEN --list-lag-ms 500
    local tries=50
    until platform_call "$platform_url/v1/instances"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "the platform stand-in does not answer" >&2; return 1; }
        sleep 0.1
    done
}

# start_engine ID DOMAIN GROUP PORT [OPTIONS...]
start_engine() {
    local id=$1 domain=$2 group=$3 port=$4
    shift 4
    FOXTAILTALLY_STANDIN_TOKEN=$FOXTAILTALLY_ENGINE_TOKEN \
        start "$id" "$standin" engine --id "$id" --domain "$domain" --group "$group" --port "$port" \
        --model "$model" --platform "$platform_url" --token-env FOXTAILTALLY_STANDIN_TOKEN "$@"
}

# settings_for ID DOMAIN CALLER_PORT ADMIN_PORT PEER_PORT SEEDS: prints the settings of an entry instance.
settings_for() {
    cat << END
[instance]
id = $1
failure_domain = $2
caller_port = $3
admin_port = $4
peer_port = $5
[peers]
seeds =
$(tr ',' '\n' <<< "$6" | sed 's/^ */  /')
key = peers-secret
[platform]
url = $platform_url
token = $FOXTAILTALLY_PLATFORM_TOKEN
[engine]
token = $FOXTAILTALLY_ENGINE_TOKEN
[service]
token = $FOXTAILTALLY_SERVICE_TOKEN
[operator]
token = $FOXTAILTALLY_OPERATOR_TOKEN
END
}

# register_entry ID DOMAIN CALLER_PORT INCARNATION: adds an entry instance to the platform's list.
register_entry() {
    platform_call -X PUT "$platform_url/v1/instances/$1" -d "{\"id\":\"$1\",\"kind\":\"entry\",\"domain\":\"$2\",\"address\":\"127.0.0.1:$3\",\"state\":\"live\",\"incarnation\":$4}"
}

# start_himrekha: the Himrekha deployment in small, from port $base on: 3 failure domains, 6 entry
# instances, 15 engines, 3 plain services, platform and balancer; then publishes the first release
# note. Sets domains, admins, entry_ids, balancer_url, platform_url and tokens (options of load).
start_himrekha() {
    model=plough
    platform_port=$base
    platform_url=http://127.0.0.1:$platform_port
    balancer_url=http://127.0.0.1:$((base + 1))
    domains=(west-hills-1 west-hills-2 west-hills-3)
    entry_ids=()
    start_platform
    port=$((base + 100))
    for domain in "${domains[@]}"; do
        for n in 1 2 3 4 5; do
            group=$domain-g$(((n + 2) / 3))
            start_engine "$domain-engine-$n" "$domain" "$group" "$port" --speed 4 --memory-tokens 400000
            port=$((port + 1))
        done
        FOXTAILTALLY_STANDIN_TOKEN=$FOXTAILTALLY_SERVICE_TOKEN \
            start "$domain-crews" "$standin" service --id "$domain-crews" --domain "$domain" --service crews \
            --checks-fence --port "$port" --platform "$platform_url" --token-env FOXTAILTALLY_STANDIN_TOKEN
        port=$((port + 1))
    done

    seeds=""
    i=0
    for domain in "${domains[@]}"; do
        for n in 1 2; do
            seeds+="${seeds:+, }$domain-entry-$n@$domain@127.0.0.1:$((base + 300 + i))"
            i=$((i + 1))
        done
    done
    i=0
    backends=()
    admins=()
    for domain in "${domains[@]}"; do
        for n in 1 2; do
            id=$domain-entry-$n
            others=$(tr ',' '\n' <<< "$seeds" | sed 's/^ *//' | grep -v "^$id@" | paste -sd, -)
            settings_for "$id" "$domain" $((base + 400 + i)) $((base + 500 + i)) $((base + 300 + i)) "$others" > "$out/$id.ini"
            start "$id" "$binary" serve --settings "$out/$id.ini"
            register_entry "$id" "$domain" $((base + 400 + i)) "$(date +%s%6N)"
            backends+=(--backend "127.0.0.1:$((base + 400 + i))")
            entry_ids+=("$id")
            admins+=("http://127.0.0.1:$((base + 500 + i))")
            i=$((i + 1))
        done
    done
    start balancer "$standin" balancer --port $((base + 1)) "${backends[@]}"

    wait_for "${admins[0]}/health/live" 10
    customers=""
    tokens=(--customer-keys "$out/customer-keys")
    : > "$out/customer-keys"
    for n in 0 1 2 3 4 5 6 7 8 9; do
        digest=$(printf 'depot-key-%s' "$n" | "$binary" key-digest)
        customers+="${customers:+,}{\"id\": \"customer-$n\", \"key_digest\": \"$digest\",
          \"failure_domains\": [\"west-hills-1\", \"west-hills-2\", \"west-hills-3\"], \"models\": [\"$model\"],
          \"tokens_per_second\": 10000000, \"requests_per_second\": 10000}"
        echo "customer-$n=depot-key-$n" >> "$out/customer-keys"
    done
    cat > "$out/change-set.json" << END
{"author": "demo",
 "added": {
  "models": [{"id": "$model", "versions": ["1"], "weights": "$model"}],
  "customers": [$customers],
  "services": [{"name": "crews", "checks_fence": true,
        "calls": [{"name": "assign", "repeatable": false}, {"name": "lookup", "repeatable": true}]}]}}
END
    echo "publishing the first release note"
    "$binary" note publish --admin "${admins[0]}" --operator demo "$out/change-set.json"
    for admin in "${admins[@]}"; do wait_for "$admin/health/ready" 30; done
}
