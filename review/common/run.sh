# Sourced by the cases' run.sh, which names the case in $number and sets TROUBLE. Starts the case's program, which starts
# the routers with the deploy file's `run` and ends every process that it started, also when it is ended itself.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
REPOSITORY=$(cd "$case_folder/../.." && pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$REPOSITORY/deploy/balancer.toml")
export REPOSITORY RUN_COMMAND
program="$REPOSITORY/review/build/case-$number"
rm -f "$case_folder/record.txt"
if [ -z "$RUN_COMMAND" ] || [ ! -x "$program" ] || [ ! -x "$REPOSITORY/build/silverrail" ]; then
    echo "run the deploy file's build and review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
running=
end_all() {
    [ -z "$running" ] || kill "$running" 2>/dev/null
    wait
    rm -rf "$scratch"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
timeout --kill-after=5 110 "$program" "$scratch" "$case_folder/record.txt" &
running=$!
wait "$running"
code=$?
running=
tail -n 1 "$case_folder/record.txt"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
