#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec review/common-2/run.sh after-a-cut review/7
