# Functions that start a fleet of real processes on loopback and end it; sourced by other scripts.
#
# The script that sources it sets `bin`, the directory of the programs, may set `ip`, the address of
# all processes, and calls `fleet_begin`.

zones=(zone-a zone-b zone-c)

# Makes the directory of the fleet, and ends all processes when the script ends.
fleet_begin() {
    ip=${ip:-127.0.0.1}
    platform=$ip:7000
    if (exec 3<>"/dev/tcp/$ip/7000") 2>/dev/null; then
        echo "port 7000 of $ip is in use; is another fleet running?" >&2
        exit 1
    fi
    directory=$(mktemp -d)
    daemons=() standins=() engines=() services=() callers=() admins=()
    trap finish EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
    trap 'exit 129' HUP
}

finish() {
    local status=$?
    trap - EXIT INT TERM HUP
    if [ "$status" -eq 1 ]; then
        echo "failed; the last warnings of the processes:" >&2
        grep -hE '"level":"(WARN|ERROR)"' "$directory"/*.log | tail -n 20 >&2 || true
    fi
    fleet_stop
    rm -rf "$directory"
    exit "$status"
}

# Ends the daemons, then the stand-ins.
fleet_stop() {
    stop "${daemons[@]}"
    stop "${standins[@]}"
    wait 2>/dev/null || true
    daemons=() standins=() engines=() services=() callers=() admins=()
}

# Asks processes to end, and ends those by force that have not done so in ten seconds.
stop() {
    local pid
    [ $# -gt 0 ] || return 0
    kill -TERM "$@" 2>/dev/null || true
    for _ in {1..100}; do
        any_left "$@" || return 0
        sleep 0.1
    done
    for pid in "$@"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
}

any_left() {
    local pid
    for pid in "$@"; do
        kill -0 "$pid" 2>/dev/null && return 0
    done
    return 1
}

# Starts a program in the background, its log in a file: start NAME PROGRAM ARGUMENTS...
#
# It gets a process group of its own, so that Ctrl-C reaches this script alone, which then ends
# daemons before stand-ins.
start() {
    local name=$1
    shift
    set -m
    "$@" >"$directory/$name.log" 2>&1 &
    set +m
}

# Starts a stand-in: standin NAME ARGUMENTS...
standin() {
    local name=$1
    shift
    start "$name" "$bin/primrosehoist-standin" "$@"
    standins+=($!)
}

# Waits until an address accepts connections.
wait_open() {
    local host=${1%:*} port=${1##*:}
    for _ in {1..200}; do
        if (exec 3<>"/dev/tcp/$host/$port") 2>/dev/null; then
            return 0
        fi
        sleep 0.05
    done
    echo "nothing listens on $1" >&2
    return 1
}

# Sends an HTTP request and prints the status line: request ADDRESS METHOD PATH BODY
request() {
    local host=${1%:*} port=${1##*:} line
    exec 3<>"/dev/tcp/$host/$port" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$2" "$3" "$1" "${#4}" "$4" >&3
    read -r line <&3 || true
    exec 3>&-
    echo "$line"
}

# Registers and starts a daemon, with further settings: start_daemon INDEX ZONE SETTINGS
start_daemon() {
    local index=$1 zone=$2 host=host-$1
    cat >"$directory/$host.toml" <<SETTINGS
host = "$host"
zone = "$zone"
secret_file = "$directory/secret"

[listen]
caller = "$ip:710$index"
peer = "$ip:720$index"
admin = "$ip:730$index"

[platform]
address = "$platform"

[peers]
seeds = ["$ip:7200", "$ip:7202", "$ip:7204"]

$3
SETTINGS
    local content="{\"zone\":\"$zone\",\"role\":\"entry\",\"address\":\"$ip:720$index\""
    content+=",\"state\":\"live\",\"admin\":\"$ip:730$index\"}"
    [[ $(request "$platform" PUT "/standin/hosts/$host" "$content") == *" 20"* ]]
    start "$host" "$bin/primrosehoistd" --settings "$directory/$host.toml"
    daemons+=($!)
    callers+=("$ip:710$index")
    admins+=("$ip:730$index")
}

# Starts two daemons in each zone, with further settings.
start_daemons() {
    local index
    head -c 24 /dev/urandom | base64 >"$directory/secret"
    for index in 0 1 2 3 4 5; do
        start_daemon "$index" "${zones[index / 2]}" "${1:-}"
    done
    for address in "${admins[@]}"; do
        wait_open "$address"
    done
}

# Runs the operators' tool for a change: operate ARGUMENTS...
operate() {
    "$bin/primrosehoist" "$@" --platform "$platform" --author fleet --secret-file "$directory/secret"
}

# Waits until all daemons are ready and each upstream is held.
wait_ready() {
    local address held
    for address in "${admins[@]}"; do
        for _ in {1..200}; do
            [[ $(request "$address" GET /readyz "") == *" 200"* ]] && break
            sleep 0.05
        done
    done
    for _ in {1..100}; do
        held=$("$bin/primrosehoist" status --secret-file "$directory/secret" \
            --daemons "$(joined "${admins[@]}")" --output json 2>/dev/null |
            grep -o '"upstream"' | wc -l || true)
        [ "$held" -ge $((${#engines[@]} + ${#services[@]})) ] && break
        sleep 0.1
    done
    sleep 1.2 # two heartbeats, after which every daemon knows who holds what
}

# Joins words by commas.
joined() {
    local IFS=,
    echo "$*"
}
