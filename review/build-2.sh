#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, the
# project's own and those of review/standin-2, into target/.  Run it after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/standin-platform_worker target/standin-http \
    target/standin-json
packages="libmicrohttpd libcurl glib-2.0 jansson libtirpc libxxhash"
# shellcheck disable=SC2046,SC2086
"${CC:-gcc}" -std=gnu11 -O2 -Wall -iquote . $(pkg-config --cflags $packages) \
    -o target/standin2-worker review/standin-2/worker.c \
    target/libchervilhold.a $(pkg-config --libs $packages) -lev -lm -lpthread
