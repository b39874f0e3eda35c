#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. Needs Go, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/standin-3 .
