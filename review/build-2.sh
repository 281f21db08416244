#!/bin/sh
# Builds the stand-ins of cases 6 to 10, without a network. The daemon is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/cases-2/Cargo.toml --target-dir target/review-2
