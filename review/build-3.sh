#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of this review start, into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/*.java
