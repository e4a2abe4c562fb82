#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build line of the deploy file; run.sh of each case uses its result.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
