#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the deploy file's build: the project's
# stand-ins and the review's own, which needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${CARGO_TARGET_DIR:-target}
cargo build --locked -p primrosehoist-standin
mkdir -p "$target/review-2"
rustc --edition 2024 -O -o "$target/review-2/harness" review/harness-2/main.rs
