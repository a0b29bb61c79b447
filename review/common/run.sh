# Sourced by the cases' run.sh, which names the case in $number. Starts the case's program, which starts the router
# with the deploy file's `run` and ends every process that it started. TROUBLE=0: without the disruption.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
REPOSITORY=$(cd "$case_folder/../.." && pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$REPOSITORY/deploy/balancer.toml")
export REPOSITORY RUN_COMMAND TROUBLE="${TROUBLE:-1}"
program="$REPOSITORY/review/build/case-$number"
if [ -z "$RUN_COMMAND" ] || [ ! -x "$program" ] || [ ! -x "$REPOSITORY/build/silverrail" ]; then
    echo "run the deploy file's build and review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout --kill-after=5 110 "$program" "$scratch" "$case_folder/record.txt"
code=$?
tail -n 1 "$case_folder/record.txt"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
