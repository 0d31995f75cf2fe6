#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/6/standin && GOWORK=off go build -o ../../../target/standin2 .)
