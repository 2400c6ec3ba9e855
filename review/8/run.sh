#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, with 0 if it held and
# with 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kingcuppoint ] && [ -x target/review-2/lost_suspects ] || exit 2
target/review-2/lost_suspects review/8
