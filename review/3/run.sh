#!/usr/bin/env bash
# All routers are killed at once while streams are under way; callers take the streams up again later.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\([^" ]*\).*/\1/p' deploy/system.toml | head -n 1)
standin=review/standin/target/release/review-standin
[ -x "$program" ] && [ -x "$standin" ] || { echo "not built: the build of deploy/system.toml, then review/build.sh"; exit 2; }
exec "$standin" take-up "$program" review/3/record.txt
