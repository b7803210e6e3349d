#!/usr/bin/env bash
# Builds the stand-ins of the cases 8 to 10 into target/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand3 ./review/_stand3
sh review/build-4.sh
