#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Run it in the repository's root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/rig ./review/rig
