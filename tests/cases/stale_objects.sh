# Guards against objects of another tree: make keeps a build folder that was
# copied from elsewhere, as its files are newer than the sources, and the
# programs are of other sources than those that are built.
. tests/lib.sh
find_stale=$PWD/deploy/find_stale_objects.sh
cd "$WORK" || exit 1

# tree: two sources that were compiled into b with key one, long ago.
tree() {
	rm -rf ./*.[ch] b
	echo 1 >x.c
	echo 1 >y.c
	sh "$find_stale" b one
	touch -d '1 hour ago' b/libchervilhold.a
	touch -d '2 hours ago' x.c y.c
}

# find_with KEY TEXT: the sources that make finds to be newer than the library.
find_with() {
	sh "$find_stale" b "$1" || note "exit $?"
	note "$2:" "$(find . -name '*.c' -newer b/libchervilhold.a | sort |
	    tr '\n' ' ')"
}

tree
find_with one "the same sources"
echo 2 >y.c
touch -d '2 hours ago' y.c
find_with one "another y.c, older than its object"
tree
echo 2 >y.c
find_with one "another y.c, newer than its object"
tree
find_with two "another key"
tree
rm b/sources
find_with one "not known from which sources"
