# Guards against a replica that starts with a log which was changed on disk.
. tests/lib.sh
start_today 0
patch() {
	patch_at i7 "{\"id\": \"p$1\", \"base\": $1, \"author\": \"ana\",
	 \"patch\": {\"tenants\": {\"t$1\": {\"weight\": 2}}}}" >"$WORK/patch"
	[ "$(status)" = 200 ]
}
for base in 1 2 3 4 5 6 7 8 9 10; do
	wait_for 20 "patch $base" patch "$base"
done
signal_instance TERM i3
await_exit i3
segment=$(find "$WORK/data-i3" -type f -size +1k | grep -v snapshot |
    head -n 1)
size=$(wc -c <"$segment")
middle=$((size / 2))
byte=$(od -An -tu1 -j "$middle" -N 1 "$segment" | tr -d ' ')
# shellcheck disable=SC2059
printf "\\$(printf '%03o' $((byte ^ 16)))" |
    dd of="$segment" bs=1 seek="$middle" conv=notrunc 2>/dev/null
start i3
await_exit i3
note "i3 refuses to start: $([ $? -ne 0 ] && echo yes || echo no)"
tail -n 3 "$WORK/i3.log" | grep -q "$segment: offset [0-9]" ||
    fail "file and offset of the damage are not named"
note "file and offset are named"
wait_for 20 "patch without i3" patch 11
for id in i1 i2 i4 i5 i6 i7; do
	wait_for 20 "$id at version 12" at_version "$id" 12
done
note "version 12 is in force on the others"
