#!/usr/bin/env bash
# Two core machines are replaced as planned; later two others lose their disks.
# With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -cp review/target TwoReplacedThenWiped "$PWD" "$PWD/review/1/record.txt"
