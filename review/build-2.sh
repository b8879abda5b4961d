#!/usr/bin/env bash
# Builds the stand-ins, clients and checks that the scripts of the cases 6 to 10 start. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -C debuginfo=0 -o target/review-2/cases-2 review/bed-2/tests/main.rs
