#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: engines, clients and the change log, in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -o bin/review-standin-2 ./review/testdata/standin2
