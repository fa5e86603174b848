# Guards against clients at the address of operators and backend servers: the
# configuration can be read and replaced while they stay, and they take no
# memory there.
. tests/platform.sh
. tests/crowd.sh
version=1
# Both ask the instance under attack, which may send the caller on to the leader.
reads_config() {
	platform_http GET "$NET.1:$CONTROL" /api/config/read >/dev/null
	case $(status) in 200 | 307) ;; *) return 1 ;; esac
}
receives_config() {
	platform_http POST "$NET.1:$CONTROL" /api/config/replace \
	    "{\"version\":0}" >/dev/null
	case $(status) in 307 | 400) ;; *) return 1 ;; esac
}
operator_is_served() {
	wait_for 60 "$1: the configuration is read" reads_config
	wait_for 60 "$1: a configuration is received" receives_config
	version=$((version + 1))
	wait_for 60 "$1: a configuration is replaced" \
	    platform_configure "$version"
	note "$1: the operator is served"
}
while_attacked=operator_is_served
small_platform_open
attack 1 "$CONTROL" idle
for path in /api/config/replace /api/instances/i-1/heartbeat /none; do
	note "$path"
	for kind in whole pieces chunked objects members; do
		attack 1 "$CONTROL" "$kind" --path "$path"
	done
done
earlier_job
