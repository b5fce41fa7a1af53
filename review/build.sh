#!/bin/sh
# Builds the harness of the cases, with all stand-ins that it starts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/harness ./review/harness
