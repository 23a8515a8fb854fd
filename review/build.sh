#!/bin/sh
# Builds the stand-ins and checks of the cases into target/. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
