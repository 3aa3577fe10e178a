#!/usr/bin/env bash
# Builds the stand-ins of the cases. The router itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path standin/Cargo.toml
