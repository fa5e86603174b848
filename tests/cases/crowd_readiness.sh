# Guards against clients at the address that says ready: it goes on answering
# while they stay, and they take no memory there.
. tests/platform.sh
. tests/crowd.sh
still_ready() {
	wait_for 60 "$1: readiness" is_entry_ready
	note "$1: ready"
}
while_attacked=still_ready
small_platform_open
for kind in idle half whole chunked objects; do
	attack 4 "$READY" "$kind" --path /api/readyz
done
attack 4 "$READY" whole --path /none --method GET
earlier_job
