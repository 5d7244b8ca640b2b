#!/bin/bash
# Plays case 10 (claim.txt). Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out
# the disruption. Before: the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/gateway bin/review-standin-2; do
	test -x "$program" || { echo "$program is not built"; exit 2; }
done
exec bin/review-standin-2 case 10 review/10
