#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program itself is built with the line `build` in
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin ./review/_standin
