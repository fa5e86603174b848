#!/bin/sh
# Usage: find_stale_objects.sh BUILD KEY.  Lets make rebuild what was compiled
# from other sources than those here, or with another KEY (compiler, flags, kind
# of machine).  make compares times only, and a build folder that was copied from
# another tree can be newer than the sources.  Works on the sources below the
# current folder, whose times it sets.
set -eu
build=$1
key=$2
library=$build/libchervilhold.a
mkdir -p "$build"
next=$(mktemp "$build/sources.XXXXXX")
trap 'rm -f "$next"' EXIT
find . -name '*.[ch]' -exec cksum {} + | LC_ALL=C sort >"$next"
if [ ! -e "$library" ]; then
	: # Nothing was built yet.
elif [ ! -e "$build/sources" ] ||
    [ "$(cat "$build/key" 2>/dev/null)" != "$key" ]; then
	find . -name '*.[ch]' -exec touch {} +
else
	# make finds by itself what is newer than the library.
	LC_ALL=C comm -13 "$build/sources" "$next" |
	    while read -r _ _ file; do
		[ "$file" -nt "$library" ] || touch "$file"
	done
fi
mv "$next" "$build/sources"
trap - EXIT
echo "$key" >"$build/key"
