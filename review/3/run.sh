#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. With TROUBLE=0 no connection goes silent.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/silent ] && [ -x target/guavagauge ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review/silent review/3
