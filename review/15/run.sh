#!/bin/bash
# Exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
bed=target/review-bed-3/release/bed-3
if [ ! -x "$bed" ] || [ ! -x target/release/sniperund ]; then
    echo "not built" >&2
    exit 2
fi
exec "$bed" restarted-target "$folder"
