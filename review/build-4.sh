#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/stand4. None
# of these scripts starts a stand-in of the project itself.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/stand4
go build -o target/stand4/stand4 ./review/_stand4
