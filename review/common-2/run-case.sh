# Sourced by each run.sh: `case_folder` is its folder. Runs the case's program from the repository's root with the
# deploy file's command. Exit code: 0 held, 1 broken, 2 could not run.
root=$(cd "$case_folder/../.." && pwd) || exit 2
program=$root/build-review-2/case-$(basename "$case_folder")
[ -x "$program" ] || { echo "not built: run review/build-2.sh first" >&2; exit 2; }
[ -x "$root/build/silverrail" ] || { echo "not built: run the deploy file's build first" >&2; exit 2; }
command=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
[ -n "$command" ] || { echo "deploy/balancer.toml names no command to run" >&2; exit 2; }
cd "$root" || exit 2
timeout -k 2 115 "$program" "$command" "$case_folder/record.txt"
code=$?
[ "$code" -le 2 ] || { echo "the case ended with $code" >&2; exit 2; }
exit "$code"
