#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need nothing but the
# standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/world review/standin-2/src/main.rs
