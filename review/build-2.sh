#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9 into target/. It needs no network: the module has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-rig2 .
