#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, from the repository's root or elsewhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/stand-in-2/main.rs -o target/review-2/case
