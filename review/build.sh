#!/bin/sh
# Builds the stand-ins of the cases into target/. It needs no module from a registry.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../../target/review-rig .
