#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6, without a network. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline
