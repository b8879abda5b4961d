#!/usr/bin/env bash
# Builds the stand-ins and callers that the scripts of the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -C debuginfo=0 -o target/review/cases review/tests/cases.rs
