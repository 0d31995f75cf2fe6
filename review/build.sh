#!/bin/sh
# Builds the program that plays the scripted cases into review/1/bin. It uses the
# standard library only.
set -eu
cd "$(dirname "$0")/1/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/lab .
