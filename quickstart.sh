#!/usr/bin/env bash
# Builds the programs and runs the demo job: two proxies, the stand-ins and a database of three
# instances on loopback. Needs a Rust toolchain and the crate registry only.
# Exits with 0 only if no acknowledged write is lost or doubled.
set -euo pipefail
cd "$(dirname "$0")"

if ! command -v cargo >/dev/null; then
  echo "cargo was not found; install Rust from https://rustup.rs first" >&2
  exit 1
fi

cargo build --release --locked -p flamingorockd -p flamingoctl -p flamingorock-standin

# The folder of the build can be set by the environment or by a configuration file of cargo.
target=$(cargo metadata --format-version 1 --no-deps --locked |
  sed 's/.*"target_directory":"\([^"]*\)".*/\1/')
exec "$target/release/flamingorock-standin" demo
