#!/bin/sh
# Builds the programs of the cases into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../bin
go build -o ../bin/ ./cmd/...
