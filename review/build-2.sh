#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. The product is built by the line of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags reviewrig -o target/review-rig-2 ./review/rig-2
