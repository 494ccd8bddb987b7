#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. It needs no network: the module has no dependency.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p bin
go build -o bin/ .
mv bin/review2 bin/drill
