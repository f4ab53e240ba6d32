#!/bin/sh
# Runs the case NAME in the folder of the case: run.sh NAME FOLDER
cd "$(dirname "$0")/../.." || exit 2
"target/review-2/$1" "$2"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
