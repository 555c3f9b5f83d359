#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler and the standard library alone.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc --edition 2021 -O -o "$root/target/review-2/cases" "$root/review/stand-ins-2/main.rs"
