#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -d target standin/*.java
