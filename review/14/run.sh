#!/usr/bin/env bash
# Workers in need state for some seconds that they take no requests, and then recover.
# Exits with 1 if their route is starved for good, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -d target/review-3 && -f target/goldcrestfall-platform.jar ]] || exit 2
command -v java >/dev/null || exit 2
exec java -cp target/review-3 ZeroLimit . review/14/record.txt
