#!/bin/sh
# Builds the stand-ins of the third review. Run in the repository's root, after the build of the
# deploy file.
set -e
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs
