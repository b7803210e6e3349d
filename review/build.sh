#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/_stand
