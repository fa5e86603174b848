# Guards against a stand-in for the users' backend servers that is kinder than
# their protocol, or whose faults do nothing: runs on it would prove nothing.
. tests/platform.sh
HOLD_MS=2000
FAR=100000000
platform_workers 2 8

# order NUMBER PATH FIELDS [ID]: sends an order and keeps its answer.
order() {
	header=""
	[ -z "${4:-}" ] || header="X-Expect-Instance: $4"
	platform_http POST "$WORKER_ADDRESS:$((WORKERS + $1))" "/api/$2" "{$3}" \
	    ${header:+"$header"} >"$WORK/answer"
}

# told: the status of the last order, and the reason of a refusal.
told() {
	reason=$(json reason <"$WORK/answer")
	echo "$(status)${reason:+ $reason}"
}

# start NUMBER RUN [UNTIL]: starts a run of task a for a minute.
start() {
	order "$1" run-start "\"task\":\"a.0.0.0\",\"runId\":$2,\"spec\":\"60000\",
	    \"untilMs\":${3:-$FAR},\"fencingToken\":7"
}

# stop NUMBER RUN
stop() {
	order "$1" run-stop "\"task\":\"a.0.0.0\",\"runId\":$2,\"fencingToken\":7"
}

# poll NUMBER CURSOR WAIT_MS
poll() {
	order "$1" hold "\"fencingToken\":7,\"ackCursor\":$2,\"waitMs\":$3"
}

# lists NAME: both lists of the last poll, times left out.
lists() {
	echo "$1: $(json running.# <"$WORK/answer") running, $(
	    json finishedRuns <"$WORK/answer")"
}

start 0 1
note "start: $(told)"
start 0 1
note "again: $(told)"
order 0 run-start "\"task\":\"a.0.0.0\",\"runId\":1"
note "without a spec: $(told)"
poll 0 0 0
lists "started"
order 0 hold "\"fencingToken\":6"
note "lower token: $(told)"
order 0 hold "\"fencingToken\":7" w99
note "other instance: $(told)"
poll 0 0 2000
poll 0 0 2000
lists "cut to the longest lease"
start 0 1
note "ended run: $(told)"
start 0 2 1
note "past lease: $(told)"
poll 0 1 0
lists "acknowledged"

worker_faults 0 '{"stop_ms":1500}'
start 0 2
stop 0 2
note "stop: $(told)"
poll 0 1 0
lists "stopping"
poll 0 1 2000
lists "stopped"
stop 0 3
start 0 3
note "stopped before its start: $(told)"

for list in no_running no_ends; do
	worker_faults 0 "{\"poll\":{\"body\":\"$list\",\"count\":1}}"
	poll 0 0 0
	note "$list: running $(json running.# <"$WORK/answer" || echo none)," \
	    "ended $(json finishedRuns.# <"$WORK/answer" || echo none)"
done
worker_faults 0 '{"poll":{"body":"text"}}'
poll 0 0 0
note "text: $(cat "$WORK/answer")"
worker_faults 0 '{"poll":{"body":"cut"}}'
poll 0 0 0
note "cut: $(json born <"$WORK/answer" || echo no JSON)"

# start_silently NUMBER RUN: a start that gets no answer until the worker ends.
start_silently() {
	mkdir -p "$WORK/silent"
	(
		WORK=$WORK/silent
		start "$1" "$2"
	) &
	SILENT_PID=$!
}

worker_faults 0 '{"start":{"late_ms":500}}'
start_silently 0 4
wait_for 20 "the order" has_run "postponed start"
worker_command 0 restart '{"down_ms":100}'
wait "$SILENT_PID"
note "late: $(cat "$WORK/silent/status")"
wait_for 20 "the late start" has_run "start a.0.0.0 4 w00/2"
poll 0 0 0
lists "restarted"
[ "$(json clockMs <"$WORK/answer")" -lt 10000 ] || fail "its clock went on"
order 0 hold '"fencingToken":1'
note "token of the life before: $(told)"
stop 0 4
worker_faults 0 '{"start":{"lost":true}}'
start_silently 0 5
wait_for 20 "the start" has_run "start a.0.0.0 5"
worker_command 0 restart '{"new_id":true}'
wait "$SILENT_PID"
note "lost: $(cat "$WORK/silent/status")"
order 0 hold "" w00
note "under its former id: $(told)"
order 0 hold "" w00-3
lists "under its new id"

# A worker that gets no acknowledgement serves on for some time.
worker_command 1 leave '{"linger_ms":2000}'
poll 1 0 0
lists "leaving"
wait_for 20 "its end" has_run "gone w01/1"
poll 1 0 0
note "gone: $(status)"
