#!/bin/sh
# A backend server that leaves runs on without an acknowledgement of its
# deregistration; then its links are cut, with refused connections, for 4 s.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
JOB=00000000000000a1
TASK_MS=12000

# starts, ends: how often the task was started, and has ended.
starts() {
	grep -c "^start $JOB.0.0.0 " "$WORK/workers.out"
}

# overlap: whether two runs of the task were at work at one moment.
overlap() {
	awk -v task="$JOB.0.0.0" '
	    $1 == "start" && $2 == task { n++; begin[n] = $5; end[n] = 1e18
		key[$3 " " $4] = n }
	    $1 == "end" && $2 == task { end[key[$3 " " $4]] = $5 }
	    END { for (a = 1; a <= n; a++) for (b = a + 1; b <= n; b++)
		if (begin[a] < end[b] && begin[b] < end[a]) exit 0
		exit 1 }' "$WORK/workers.out"
}

start_proxy w0 "$PROXY:$WORKERS" "$WORKER_ADDRESS:$WORKERS" \
    w1 "$PROXY:$((WORKERS + 1))" "$WORKER_ADDRESS:$((WORKERS + 1))"
open_control "$(route q /q/)"
start_workers 2 8 --advertise "$PROXY" --control "$NET.1:$CONTROL" \
    --control "$NET.2:$CONTROL" --control "$NET.3:$CONTROL"
sleep 2
submit "client hands in" /q/ $JOB "{\"spec\":\"$TASK_MS\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,\"gpu\":8,\"estMs\":$TASK_MS}]}"
[ "$(status)" = 200 ] || cannot_run "the job was not accepted"
wait_for 10 "the task's start" has_run "start $JOB.0.0.0 1"
server=$(awk '$1 == "start" { print substr($4, 3, 1); exit }' "$WORK/workers.out")
record "server $server runs the task"
# It drains for 2.5 s, deregisters, gets no acknowledgement and ends 5 s later.
worker_command "$server" leave \
    '{"drain_ms":2500,"linger_ms":5000,"ack_lost":true}'
sleep 3.5
if [ "$TROUBLE" != 0 ]; then
	record "the links to server $server are cut, with refused connections"
	links "w$server refuse"
	sleep 4
	links
	record "the cut has healed"
else
	sleep 4
fi
wait_for 60 "the job's end" is_state /q/ $JOB completed
record "client is told: $(state /q/ $JOB), after $(starts) starts"
if overlap; then
	broken "TWICE: two runs of $JOB.0.0.0 at the same time, on servers that are up"
fi
held "no two runs of the task at the same time"
