#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the compiler alone: no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/common-2/case-*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/${name#case-}" "$source"
done
