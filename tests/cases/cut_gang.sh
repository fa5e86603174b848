# Guards a gang against the cut of its failure domain: no part of it runs again
# or alone, and a gang that needs its places waits.
. tests/lib.sh
WITH_RELAY=1
start_today 2
gang='"members": 2, "accelerators": 8, "adjacency": "rack",
 "priority": "opportunistic", "domain": "d2"'
URL=http://$(field address i1):$(field http i1)
first=$(submit "$(key firstjob)" "$gang, \"input\":
 {\"tag\": \"first\", \"sleep_ms\": 12000}")
wait_for 20 "the gang runs" job_is "$first" running
cut_off i3 i4
wait_for 20 "a leader of the majority" has_leader i1
accepted() {
	second=$(submit "$second_key" "$gang, \"input\": {\"tag\": \"second\"}")
	[ "$(status)" = 202 ]
}
second_key=$(key secondjb)
wait_for 20 "the second gang is accepted" accepted
sleep 4
note "second gang: $(job_state "$second"), started $(events start second)"
heal
wait_for 60 "the first gang ends" job_is "$first" done
wait_for 60 "the second gang ends" job_is "$second" done
note "first gang: started $(events start first), done $(events done first)"
note "second gang: started $(events start second), done $(events done second)"
