#!/usr/bin/env bash
# Runs this case (claim.txt): exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
program=../lab2/bin/flood
[ -x "$program" ] && [ -x ../../bin/balancer ] || { echo "not built" >&2; exit 2; }
exec timeout -k 2 115 "$program" "$(cd ../.. && pwd)" "$PWD/record.txt"
