#!/bin/sh
# A configuration removes a route and adds another one at the same host and
# prefix while a job of two steps is at work; its second step never starts.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
JOB=00000000000000c1
WAIT_S=20

open_control "$(route q /q/),$(route other /other/)"
start_workers 2 8
sleep 2
submit "client hands in" /q/ $JOB '{"spec":"4000","steps":[{"count":1,"cpu":1000,"memMb":10,"gpu":1,"estMs":4000},{"count":1,"cpu":1000,"memMb":10,"gpu":1,"estMs":4000,"dependsOn":[0]}]}'
[ "$(status)" = 200 ] || cannot_run "the job was not accepted"
wait_for 10 "the first step" has_run "start $JOB.0.0.0"
if [ "$TROUBLE" != 0 ]; then
	wait_for 10 "the new configuration" configure 2 \
	    "$(route q2 /q/),$(route other /other/)"
	record "operator: version 2 is acknowledged; the route at /q/ is now q2"
else
	wait_for 10 "the new configuration" configure 2 \
	    "$(route q /q/),$(route other /other/)"
	record "operator: version 2 is acknowledged; the same routes"
fi
wait_for 10 "the end of the first step" has_run "end $JOB.0.0.0"
record "the first step has ended; the second one's turn has come"
sleep $WAIT_S
record "client is told after $WAIT_S s: $(state /q/ $JOB)"
submit "client hands in another job" /q/ 00000000000000c2 '{"spec":"500","steps":[{"count":1,"cpu":1000,"memMb":10,"gpu":1,"estMs":500}]}'
wait_for 10 "the other job" is_state /q/ 00000000000000c2 completed
record "the other job is completed, so that the servers have room"
if ! has_run "start $JOB.0.1.0"; then
	broken "LOST: nothing of the job has run for $WAIT_S s, with 16 of 16 accelerators idle"
fi
held "the second step has run"
