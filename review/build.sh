#!/bin/bash
# Builds the stand-ins of the cases into review/bin. The programs of the project are built by the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
GOFLAGS=-buildvcs=false go build -tags review -o review/bin/ ./review/testdata/standin
