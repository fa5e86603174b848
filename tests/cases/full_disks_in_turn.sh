# Guards against review/1: the disks of the replicas refuse writes one after the
# other, and each of them stays out of the quorum for good, until none is left.
# A limit of the file size, set and lifted while they run, stands for the disks.
. tests/lib.sh
define_today
start_balancer
# shellcheck disable=SC2086
start $INSTANCES
for id in $INSTANCES; do
	wait_for 20 "$id ready" is_ready "$id"
done
version=1

# patch: submits the next patch; it counts once it is answered as accepted.
patch() {
	patch_at i7 "{\"id\": \"p$version\", \"base\": $version,
	 \"author\": \"ana\",
	 \"patch\": {\"tenants\": {\"t$version\": {\"weight\": 2}}}}" \
	    >"$WORK/patch"
	[ "$(status)" = 200 ]
}

# times_back ID: how often it has said that its storage takes writes again.
times_back() {
	grep -c "takes writes again" "$WORK/$1.log"
}

is_back() {
	[ "$(times_back "$1")" -gt "$2" ]
}

# strike ID: its disk refuses writes during five patches and one second more.
strike() {
	before=$(times_back "$1")
	prlimit --pid "$(eval "echo \$pid_$1")" --fsize=16: ||
	    fail "cannot set the limit of $1"
	for _ in 1 2 3 4 5; do
		wait_for 20 "patch $version while $1 is struck" patch
		version=$((version + 1))
	done
	sleep 1
	prlimit --pid "$(eval "echo \$pid_$1")" --fsize=unlimited: ||
	    fail "cannot lift the limit of $1"
	wait_for 20 "$1 writes again" is_back "$1" "$before"
}

for id in i1 i3 i5; do
	strike "$id"
	note "$id was struck and writes again"
done
for round in 1 2 3 4; do
	strike "$(leader_of i7)"
	note "leader $round was struck and writes again"
done
wait_for 20 "a last patch" patch
version=$((version + 1))
for id in $INSTANCES; do
	wait_for 20 "$id at version $version" at_version "$id" "$version"
done
note "36 patches are in force on all"
