#!/bin/sh
# Builds the cases 4 to 8 and their stand-ins into target/review-2, with the compiler alone.
set -e
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
