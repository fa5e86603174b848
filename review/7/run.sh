#!/bin/sh
# One backend server is cut off for 5 s while its task ends; from then on it
# gets no work any more.  TROUBLE=0: without the cut.
. "$(dirname "$0")/../lib-2.sh"
CUT_S=5

# Six backend servers: 0 to 3 in rack r0, 4 in rack r1, 8 in rack r2.  A rack is
# a label, too.  All calls from and to number 4 pass through a relay.
start_deployment 4 8
start_behind_relay 4 "$WORK/worker4.out"
# shellcheck disable=SC2154,SC2086
start_worker 8 "$WORK/worker8.out" $controls
sleep 2

# job MS ACCELERATORS: a job of one task for rack r1.
job() {
	echo "{\"spec\":\"$1\",\"steps\":[{\"count\":1,\"cpu\":1000,
	 \"memMb\":100,\"gpu\":$2,\"estMs\":$1,\"requires\":\"r1\"}]}"
}

submit a 00000000000000a0 "$(job 300 8)" || cannot_run "no job was accepted"
wait_until 10 is_state a 00000000000000a0 completed ||
    cannot_run "a job did not end on a calm system"
record "GET /a/00000000000000a0 -> $STATUS $ANSWER"
submit a 00000000000000a1 "$(job 4000 8)" || cannot_run "no job was accepted"
wait_until 5 grep -q "^start 00000000000000a1" "$WORK/worker4.out" ||
    cannot_run "the job was not started"
sleep 1.7
[ "$TROUBLE" = 0 ] || cut_off 4
sleep $CUT_S
heal
wait_until 15 is_state a 00000000000000a1 completed
record "GET /a/00000000000000a1 -> $STATUS $ANSWER"
# All is calm, and backend server 4 is idle: half of it would do for each.
for number in 2 3; do
	submit a "00000000000000a$number" "$(job 300 4)" ||
	    cannot_run "no job was accepted"
done
sleep 15
WAITING=""
for number in 2 3; do
	look a "00000000000000a$number"
	record "GET /a/00000000000000a$number -> $STATUS $ANSWER"
	[ "$STATUS $STATE" = "200 completed" ] || WAITING="$WAITING a$number"
done
record "what backend server 4 ran:"
cat "$WORK/worker4.out" >>"$RECORD"
record "what the leader noted of job a1:"
grep -h '00000000000000a1' "$WORK"/*.events | grep -v '"call"\|"commit"' |
    cut -c1-200 >>"$RECORD"
[ -z "$WAITING" ] || broken "15 s after a cut of $CUT_S s, with an idle" \
    "backend server for them, accepted jobs were not started:$WAITING"
held "the jobs after the cut were run"
