#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/runner ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec target/review-3/runner seeds review/15
