#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, the project's
# own. Run it in the root of the repository, after the build of deploy/system.toml.
# review/13 uses the functions of the second review, which expect theirs in target/.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/standin-http build/standin-platform_worker
make -j8 BUILD=target target/standin-platform_worker target/standin-http \
    target/standin-json target/standin-relay
