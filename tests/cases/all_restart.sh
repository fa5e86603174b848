# Guards accepted patches, jobs and claims against the loss of every process at
# once under load.
. tests/lib.sh
start_today 2
gang='"members": 2, "accelerators": 8, "adjacency": "rack",
 "priority": "opportunistic", "domain": "d1"'
patch_at i2 '{"id": "kept", "base": 1, "author": "ana", "patch":
 {"tenants": {"kept": {"weight": 2}}}}' >"$WORK/kept"
note "patch: $(status) $(json version <"$WORK/kept")"
send_key() {
	http POST "$URL/v1/requests" "{\"tenant\": \"hall\",
	 \"input\": {\"tag\": \"old\", \"echo\": \"answer 1\"}}" \
	    "Idempotency-Key: $old_key" >"$WORK/$1"
	[ "$(json outcome <"$WORK/$1")" = done ]
}
old_key=$(key oldclaim)
wait_for 20 "the claim is answered" send_key first
done_key=$(key donejob1)
ended=$(submit "$done_key" "$gang, \"input\": {\"tag\": \"ended\"}")
wait_for 20 "a job ends before the crash" job_is "$ended" done
run_key=$(key runsjob1)
running=$(submit "$run_key" "$gang, \"input\":
 {\"tag\": \"running\", \"sleep_ms\": 6000}")
wait_for 20 "a job runs" job_is "$running" running
wait_key=$(key waitjob1)
waiting=$(submit "$wait_key" "$gang, \"input\": {\"tag\": \"waiting\"}")
note "waiting job: $(job_state "$waiting")"
call --stages 100:10000 --resend 8 --prefix all --sleep-ms 10 \
    --deadline-ms 6000 &
caller=$!
sleep 2
# shellcheck disable=SC2086
kill_instance $INSTANCES
sleep 1
# shellcheck disable=SC2086
start $INSTANCES
for id in $INSTANCES; do
	wait_for 30 "$id ready again" is_ready "$id"
done
wait "$caller" || fail "the caller saw a wrong answer"
note "wrong $(summary wrong)"
for id in $INSTANCES; do
	wait_for 20 "$id at version 2" at_version "$id" 2
done
patch_at i7 '{"id": "kept", "base": 1, "author": "ana", "patch":
 {"tenants": {"kept": {"weight": 2}}}}' >"$WORK/again"
note "patch again: $(status) $(json version <"$WORK/again")"
wait_for 20 "the old key is answered" send_key second
note "old key: $(json result <"$WORK/second"), ran $(events start old)"
[ "$(json request <"$WORK/first")" = "$(json request <"$WORK/second")" ] ||
    note "another answer than the first one"
note "ended job: $(job_state "$ended"), ran $(events start ended)"
again=$(submit "$run_key" "$gang, \"input\":
 {\"tag\": \"running\", \"sleep_ms\": 6000}")
[ "$again" = "$running" ] || note "job $again instead of $running"
wait_for 40 "the running job ends" job_is "$running" done
wait_for 40 "the waiting job ends" job_is "$waiting" done
note "all jobs are done"
check_ledgers
