#!/usr/bin/env bash
# Builds the stand-ins that the second review's scripts start. The nodes come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-bed-2 ./review/bed2
