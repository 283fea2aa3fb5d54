#!/usr/bin/env bash
# Two control machines are replaced, and two others lose their disks soon after.
# Exits with 1 if the acknowledged configuration can't be read any more, 0 if it can, 2 if the case
# could not run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -d target/review-3 && -f target/goldcrestfall-platform.jar ]] || exit 2
command -v java >/dev/null || exit 2
exec java -cp target/review-3 TwoRemoved . review/12/record.txt
