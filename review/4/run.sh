#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the disruption. Run review/build.sh and the build of the deploy file before.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig revoke review/4/record.txt
