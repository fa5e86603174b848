# Guards against bodies of legal size, one byte short and left open, that take
# the memory of an entry instance, on a route and on none.
. tests/platform.sh
. tests/crowd.sh
while_attacked=ordinary_job
small_platform_open
for path in /q/00000000000000ff /none/00000000000000ff; do
	note "$path"
	for kind in whole pieces chunked; do
		attack 4 "$FRONT" "$kind" --path "$path"
	done
done
earlier_job
