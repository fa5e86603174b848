#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, the
# project's own, into target/.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/standin-platform_worker target/standin-http \
    target/standin-json target/standin-relay
