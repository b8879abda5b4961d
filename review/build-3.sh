#!/bin/bash
# Builds the testbed of the review's scripts, with the project's own stand-ins. Needs no network.
set -eu
cd "$(dirname "$0")/bed-3"
cargo build --release --offline --locked --target-dir ../../target/review-bed-3
