#!/usr/bin/env bash
# The leading core machine is replaced as planned; CatchUpS later two others lose their disks.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp review/target ReplacedThenWiped "$PWD" "$PWD/review/4/record.txt"
