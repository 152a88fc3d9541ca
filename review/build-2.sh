#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2 ./review/_standin2
