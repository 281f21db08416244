#!/usr/bin/env bash
# Builds the stand-ins and the programs that the cases start. Needs no network once the workspace has
# been built.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
