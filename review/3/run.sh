#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
REPOSITORY=$(cd "$here/../.." && pwd)
export REPOSITORY
program="$REPOSITORY/target/review/case-$(basename "$here")"
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
cd "$REPOSITORY" || exit 2
"$program" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
