#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/waxwingreel ] || exit 2
exec timeout -k 2 118 target/review-3 -case longPrompt -folder review/15
