#!/usr/bin/env bash
# Builds the daemon from the sources as they are.
#
# Cargo takes a crate for fresh if none of its files is younger than its last build. It keeps the daemon of another
# commit if the build folder has outlived the sources and the new ones have older file times.
set -euo pipefail
cd "$(dirname "$0")/.."

program=target/release/medlarpind
record=$program.sources

# Prints the hashes of all that the daemon is built from, and of the program if it was built.
state() {
  find crates platform .cargo Cargo.toml Cargo.lock -type f -print0 | LC_ALL=C sort -z |
    xargs -0 sha256sum | sha256sum
  sha256sum "$program" 2>/dev/null || true
}

if [ "$(state)" != "$(cat "$record" 2>/dev/null || true)" ]; then
  cargo clean --quiet --release --workspace --locked
fi
cargo build --release --locked --package daemon
state > "$record"
