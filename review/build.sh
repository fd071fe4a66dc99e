#!/usr/bin/env bash
# Builds the stand-ins of the review without a network.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
