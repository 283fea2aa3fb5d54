#!/usr/bin/env bash
# A request without a maximum of output tokens, then more requests than the tenant's budget covers.
# Exits with 1 if the tenant got more than its budget, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -d target/review-3 && -f target/goldcrestfall-platform.jar ]] || exit 2
command -v java >/dev/null || exit 2
exec java -cp target/review-3 Unbounded . review/11/record.txt
