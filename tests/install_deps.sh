#!/bin/sh
# Installs the declared Debian packages when one of them is missing.
set -eu
packages="gcc make pkg-config clang-format clang-tidy libev-dev
 libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev check libtirpc-dev
 libjansson-dev libxxhash-dev rpcsvc-proto"
missing=""
for package in $packages; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update >/dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
    $missing >/dev/null
