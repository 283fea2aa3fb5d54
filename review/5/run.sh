#!/usr/bin/env bash
# Three of five routers are killed at the same moment and are back 3.5 s later.
# With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -cp review/target KilledRouters "$PWD" "$PWD/review/5/record.txt"
