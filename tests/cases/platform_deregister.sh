# Guards against two runs of one task while a worker leaves: it deregisters with
# the task running, no acknowledgement reaches it, and it runs on for seconds.
. tests/platform.sh
job=00000000000000aa
platform_open 2 8
note "job: $(platform_submit q $job 1 8 2500)"
wait_for 20 "its start" has_run "start $job"
worker=$(worker_of $job.0.0.0)
worker_command "$worker" leave \
    '{"drain_ms":500,"linger_ms":4000,"ack_lost":true}'
wait_for 20 "the job" platform_is q $job completed
note "completed"
wait_for 20 "the worker's end" has_run "gone w0$worker"
