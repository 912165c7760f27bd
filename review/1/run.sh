#!/bin/bash
# Plays case 1. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || exit 2
exec review/bin/standin leaders review/1/record.txt
