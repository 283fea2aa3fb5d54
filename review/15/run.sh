#!/usr/bin/env bash
# A part of prompts crashes each worker that has begun to answer; sound requests come all the time.
# Exits with 1 if sound requests begin too seldom, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -d target/review-3 && -f target/goldcrestfall-platform.jar ]] || exit 2
command -v java >/dev/null || exit 2
exec java -cp target/review-3 Poison . review/15/record.txt
