#!/bin/sh
# Plays the case after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-harness stale-configuration .
