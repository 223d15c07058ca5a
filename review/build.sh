#!/usr/bin/env bash
# Builds what the scripts of the cases start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand ./review/stand
