# Guards against a task that runs again after it was done: a poll for the
# incarnation before a restart under the same id is carried out late, and its
# cursor acknowledges an end of the new incarnation that nobody has read.
. tests/platform.sh
LATE_MS=3000
first=00000000000000a1
second=00000000000000a2
platform_open 1 8
note "first: $(platform_submit q $first 4 1 200)"
wait_for 20 "the first job" platform_is q $first completed
wait_for 20 "its ends acknowledged" has_run "ack $first.0.0.3"
# A task that runs keeps the leader polling, with its cursor at 4.
platform_submit q 00000000000000a0 1 1 60000 >/dev/null
worker_faults 0 "{\"poll\":{\"late_ms\":$LATE_MS,\"count\":1}}"
wait_for 20 "a poll that is late" has_run "postponed poll"
platform_http DELETE "$NET.4:$FRONT" /q/00000000000000a0 "" "Host: h" >/dev/null
worker_command 0 restart '{"down_ms":300}'
note "second: $(platform_submit q $second 1 1 1000)"
wait_for 20 "its start" has_run "start $second"
worker_faults 0 '{"poll":{"lost":true}}'
wait_for 20 "the late poll" has_run "late poll"
worker_faults 0 "{}"
wait_for 20 "the second job" platform_is q $second completed
note "completed"
