#!/bin/sh
# Runs the case once. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/topazrock ] || go build -ldflags=-linkmode=external -o target/ ./cmd/topazrock || exit 2
sh review/build.sh || [ -x target/review-rig ] || exit 2
exec target/review-rig -case moved-route -record review/3/record.txt
