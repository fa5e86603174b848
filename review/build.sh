#!/bin/sh
# Builds what the scripts of review/ start beside the programs of the deploy
# file: the project's stand-ins and those of review/standin/, into target/.
set -e
cd "$(dirname "$0")/.."
make -j4 BUILD=target target/standin-platform_worker target/standin-http \
    target/standin-json
mkdir -p target/review
for source in review/standin/*.c; do
	name=$(basename "$source" .c)
	${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Werror \
	    -o "target/review/$name" "$source"
done
