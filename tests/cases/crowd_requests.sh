# Guards against clients that send too much, ahead, slowly or by halves, at an
# entry instance and at a control instance.
. tests/platform.sh
. tests/crowd.sh
while_attacked=ordinary_job
small_platform_open
for kind in over headers half slow; do
	attack 4 "$FRONT" "$kind" --path /q/00000000000000ff
	attack 1 "$CONTROL" "$kind" --path /api/config/replace
done
attack 4 "$FRONT" ahead --path /q/ --method GET
attack 1 "$CONTROL" ahead --path /api/config/read --method GET
earlier_job
