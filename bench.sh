#!/usr/bin/env bash
# Builds the release binaries and runs the benchmark on loopback; see docs/performance.md.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked -p flamingorockd -p flamingorock-bench
commit=$(git rev-parse --short HEAD 2>/dev/null || echo unknown)
test -z "$(git status --porcelain -- crates 2>/dev/null)" || commit="$commit with local changes"
exec "${CARGO_TARGET_DIR:-target}/release/flamingorock-bench" \
    --daemon "${CARGO_TARGET_DIR:-target}/release/flamingorockd" --commit "$commit" "$@"
