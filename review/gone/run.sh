#!/bin/sh
# Plays case 10; see claim.txt beside it. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/sidecar && test -x review/standins-2/bin/drill || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec review/standins-2/bin/drill 10 review/10/record.txt
