#!/bin/sh
# Builds the stand-ins that the scripts review/11 to review/15 start. It needs no network.
set -eu
cd "$(dirname "$0")/11/standin"
mkdir -p ../../../target/review-3
GOWORK=off go build -o ../../../target/review-3/standin-3 .
