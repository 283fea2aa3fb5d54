#!/usr/bin/env bash
# Two core machines are replaced as planned; later two others lose their disks.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp review/target TwoReplacedThenWiped "$PWD" "$PWD/review/1/record.txt"
