#!/usr/bin/env bash
# A tenant asks for more than its balance, and the router that refused it is killed.
# Exits with 1 if too many covered requests are denied afterwards, 0 if not, 2 if it could not run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -d target/review-3 && -f target/goldcrestfall-platform.jar ]] || exit 2
command -v java >/dev/null || exit 2
exec java -cp target/review-3 Stranded . review/13/record.txt
