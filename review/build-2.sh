#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf standin-2/target
mkdir -p standin-2/target
javac -d standin-2/target standin-2/*.java
