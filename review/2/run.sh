#!/bin/bash
# Plays case 2. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || exit 2
folder=$(mktemp -d) || exit 2
TMPDIR=$folder timeout -s KILL 115 review/bin/standin replaced review/2/record.txt
code=$?
rm -rf "$folder"
# Out of time: the case didn't run to its end.
[ "$code" -eq 137 ] && exit 2
exit "$code"
