#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. Needs the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="review/bin/case$(basename "$folder")"
test -x "$program" && test -x target/platform/lycheewall-platformd || exit 2
exec "$program" "$folder"
