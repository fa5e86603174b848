# Guards against whole bodies of legal size with very many short fields that take
# the memory of an entry instance, or leave it there.
. tests/platform.sh
. tests/crowd.sh
while_attacked=ordinary_job
small_platform_open
for kind in objects members; do
	attack 4 "$FRONT" "$kind" --path /q/00000000000000ff
done
earlier_job
