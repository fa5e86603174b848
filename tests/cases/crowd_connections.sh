# Guards against more connections than an instance has descriptors for: those
# that do nothing make room.
. tests/platform.sh
. tests/crowd.sh
CROWD=700
while_attacked=ordinary_job
small_platform_open
for kind in idle half whole; do
	CROWD_BYTES=1000
	attack 4 "$FRONT" "$kind" --path /q/00000000000000ff
done
earlier_job
