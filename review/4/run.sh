#!/bin/sh
# Plays case 4. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
program="$here/../../target/review-2/review-2"
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}"
export TROUBLE
"$program" 4 "$here"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
