#!/usr/bin/env bash
# Two of the three routers of a zone get SIGTERM, one second apart.
# With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -cp review/target RollingRestart "$PWD" "$PWD/review/2/record.txt"
