#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/stand-ins-3"
CARGO_TARGET_DIR=../../target/review-3 cargo build --release --offline --locked
