#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it in
# the root of the repository, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/standin-http build/standin-platform_worker
