#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -e review/standin-2/target/FirstVersion.class ] && [ -e target/goldcrestfall-platform.jar ] || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 4 115 java -Xmx256m -cp review/standin-2/target FirstVersion review/10/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
