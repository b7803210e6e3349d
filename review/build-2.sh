#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. Run it after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/stand2 ./review/_stand2
./review/build-3.sh
