# Plays a case in a temporary folder and ends all processes that it started; sourced by each run.sh.
# The script that sources it sets `case_name`.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
harness=${CARGO_TARGET_DIR:-$root/target}/review-2/harness
if [ ! -x "$harness" ]; then
    echo "review/build-2.sh builds the harness" >&2
    exit 2
fi
# One case holds some thousand connections.
ulimit -n 8192 2>/dev/null || ulimit -n "$(ulimit -Hn)"
directory=$(mktemp -d)
player= watchdog=
finish() {
    # The player and all that it started are in one process group, and so is the watchdog with its wait.
    [ -z "$player" ] || kill -KILL -- "-$player" 2>/dev/null
    [ -z "$watchdog" ] || kill -KILL -- "-$watchdog" 2>/dev/null
    rm -rf "$directory"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
set -m
CASE_TMP=$directory CASE_RECORD=$here/record.txt CASE_ROOT=$root TROUBLE=${TROUBLE:-1} \
    "$harness" "$case_name" &
player=$!
(sleep 115 && kill -KILL -- "-$player" 2>/dev/null) &
watchdog=$!
set +m
wait "$player"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
