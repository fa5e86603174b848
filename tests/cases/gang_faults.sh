# Guards against part of a gang that runs alone: a member that refuses at the
# last moment, a backend server killed under it, and a placer that dies.
. tests/lib.sh
start_today 2
submit() {
	key=$1
	input=$2
	http POST "$URL/v1/jobs" "{\"tenant\": \"hall\", \"workspace\": \"tours\",
	 \"members\": 2, \"accelerators\": 8, \"adjacency\": \"rack\",
	 \"priority\": \"opportunistic\", \"domain\": \"d1\", \"input\": $input}" \
	    "Idempotency-Key: $(date +%s)000-gang0000$key" | json job
}
job_is() {
	[ "$(http GET "$URL/v1/jobs/$1" | json state)" = "$2" ]
}
attempts() {
	[ "$(http GET "$URL/v1/jobs/$1" | json attempt)" -ge "$2" ]
}
job=$(submit 1 '{"tag": "refused", "sleep_ms": 60000,
 "refuse_start_on": "w_d1_02"}')
wait_for 20 "the gang is tried again" attempts "$job" 2
http DELETE "$URL/v1/jobs/$job?tenant=hall" >/dev/null
wait_for 20 "the gang is cancelled" job_is "$job" cancelled
open=$(awk '$4 == "refused" && $1 == "start" { n++ }
    $4 == "refused" && $1 != "start" { n-- } END { print n + 0 }' \
    "$WORK/ran.ledger")
note "running after the cancel: $open"

job=$(submit 2 '{"tag": "placer", "echo": "x", "sleep_ms": 4000}')
wait_for 20 "the gang runs" job_is "$job" running
placer=$(status_of i7 | json placers.d1)
kill_instance "${placer:-i1}"
URL=http://$(field address i7):$(field http i7)
wait_for 30 "the gang ends after its placer died" job_is "$job" done
note "the gang ended under a new placer"
