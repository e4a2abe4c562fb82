#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/, after the build line of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-world ./review/world
