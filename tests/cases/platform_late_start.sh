# Guards against two runs of one task after a worker has restarted under its id:
# a start without an answer was sent again and answered, the worker restarts, the
# task runs elsewhere, and the first copy of the start reaches the incarnation
# that knows nothing of stops and fencing tokens.
. tests/platform.sh
LATE_MS=4500
platform_open 2 8
job=00000000000000aa
for worker in 0 1; do
	worker_faults "$worker" "{\"start\":{\"late_ms\":$LATE_MS,\"count\":1}}"
done
note "job: $(platform_submit q $job 1 8 4000)"
wait_for 20 "a start that is late" has_run "postponed start $job"
wait_for 20 "the second copy of the start" has_run "start $job"
worker=$(worker_of $job.0.0.0)
worker_faults $((1 - worker)) "{}"
# It comes back without accelerators, which the leader learns before it learns
# what runs there, so that the task has to run on the other one.
worker_faults "$worker" '{"poll":{"lost":true}}'
worker_command "$worker" restart '{"down_ms":300,"accelerators":0}'
wait_for 20 "the restart to be known" has_event worker_restarted
worker_faults "$worker" "{}"
wait_for 20 "the first copy of the start" has_run "late start $job"
wait_for 20 "the job" platform_is q $job completed
note "completed"
