#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. MOVES=1 plays the form that an entry of KNOWN-RED.txt describes: the new backends
# serve a new service, to which the route moves. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
program=review/stand_in/target/release/review_stand_in
[ -x "$program" ] && [ -x target/release/plantainquayd ] || exit 2
# The run and all its processes form one process group, which ends with this script.
set -m
run=handover
[ "${MOVES:-0}" = 1 ] && run=moved
"$program" "$run" "${RECORD:-review/2/record.txt}" &
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null' EXIT
wait "$pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
