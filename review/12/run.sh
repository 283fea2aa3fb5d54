#!/usr/bin/env bash
# Workers start again under their ids, and the calls with which they left before arrive late.
# Exits with 1 if their route is starved for good, 0 if not, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -d target/review-3 && -f target/goldcrestfall-platform.jar ]] || exit 2
exec java -cp target/review-3 Late . review/12/record.txt
