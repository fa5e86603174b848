# The replicated configuration: time to accept a patch, until it is in force on
# every instance, without a leader after a kill, and to start after changes.
. bench/lib.sh

# patch ID NUMBER: submits one patch against the present version.
patch() {
	http PATCH \
	    "http://$(field address "$1"):$(field operator "$1")/v1/config" \
	    "{\"id\": \"b$2\", \"base\": $2, \"author\": \"bench\", \"patch\":
	     {\"tenants\": {\"t\": {\"weight\": $(($2 % 1000 + 1))}}}}"
}

version_of() {
	status_of "$1" | json config_version
}

start_today 0
number=0
while [ "$number" -lt 100 ]; do
	begin=$(date +%s%N)
	patch i7 "$number" >/dev/null
	echo $((($(date +%s%N) - begin) / 1000)) >>"$WORK/accept_us"
	number=$((number + 1))
done
sort -n "$WORK/accept_us" >"$WORK/sorted"
figure state_patch_median "$(sed -n 50p "$WORK/sorted")" us
figure state_patch_p99 "$(sed -n 99p "$WORK/sorted")" us

begin=$(now_ms)
patch i1 "$number" >/dev/null
number=$((number + 1))
for id in $INSTANCES; do
	while [ "$(version_of "$id")" != "$number" ]; do sleep 0.01; done
done
figure state_in_force_everywhere "$(($(now_ms) - begin))" ms max 5000

leader=$(leader_of i7)
begin=$(now_ms)
kill_instance "$leader"
while ! patch i7 "$number" | grep -q accepted; do
	[ $(($(now_ms) - begin)) -lt 20000 ] || break
done
figure state_no_leader_after_kill "$(($(now_ms) - begin))" ms max 2000
