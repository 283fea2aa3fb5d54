#!/usr/bin/env bash
# Two of the three routers of a zone get SIGTERM, one second apart.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp review/target RollingRestart "$PWD" "$PWD/review/2/record.txt"
