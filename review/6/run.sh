#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/sillreel.jar ] && [ -d target/review-2 ] || { echo "build the project and review/build-2.sh first" >&2; exit 2; }
exec timeout --kill-after=2 119 java -cp 'target/review-2:target/lib/*' review2.SickMachine review/6
