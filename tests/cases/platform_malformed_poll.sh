# Guards against an answer to a poll that is no list and is read as an empty one:
# what runs, or has just ended, would be started again.
. tests/platform.sh
platform_open 8 8
running=00000000000000a1
ended=00000000000000a2
# malformed TASK BODY: two answers of the worker that runs the task, as the one
# to a poll that was sent before its start proves nothing.
malformed() {
	wait_for 20 "its start" has_run "start $1"
	worker_faults "$(worker_of "$1")" \
	    "{\"poll\":{\"body\":\"$2\",\"count\":2}}"
}
# Longer than the two polls wait.
note "running: $(platform_submit q $running 3 8 5000)"
malformed $running.0.0.0 cut
malformed $running.0.0.1 text
malformed $running.0.0.2 no_running
note "ended: $(platform_submit q $ended 1 8 1000)"
malformed $ended.0.0.0 no_ends
wait_for 20 "what ran" platform_is q $running completed
wait_for 20 "what ended" platform_is q $ended completed
note "starts: $(grep -c "^start" "$WORK/workers.out")"
