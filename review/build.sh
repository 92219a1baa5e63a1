#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand-in/main.rs
