#!/bin/sh
# Builds the stand-ins of all cases into target/, without a network.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
