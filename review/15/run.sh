#!/usr/bin/env bash
# Plays the case "query" of review/standin-3. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x ../../target/standin-3 ] && [ -x ../../target/guavagauge ] || { echo "run the build of deploy/system.toml and review/build-3.sh first" >&2; exit 2; }
exec ../../target/standin-3 -case query -program ../../target/guavagauge -record record.txt -trouble="$trouble"
