#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-5
if [ ! -x "$program" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
exec "$program" review/5
