# Guards against an acknowledged order about a failure domain that is lost with
# the control instances, and against a task that starts there meanwhile: all
# instances are killed right after the acknowledgement.
. tests/platform.sh
BOUNDS=',"evacMs":5000'
platform_open 4 8
# order DOMAIN VERB: prints the status of the first clear answer.
order() {
	for n in 1 2 3; do
		platform_http POST "$NET.$n:$CONTROL" \
		    "/api/evacuations/$1/$2" >/dev/null
		case $(status) in
		200 | 400 | 404) break ;;
		esac
	done
	status
}
is_done() {
	[ "$(order "$1" "$2")" = 200 ]
}
note "fills all: $(platform_submit q 00000000000000aa 4 8 60000)"
wait_for 20 "the tasks" platform_is q 00000000000000aa active
note "waits: $(platform_submit q 00000000000000bb 1 8 300)"
is_unknown() {
	[ "$(order nowhere begin)" = 404 ]
}
wait_for 20 "an unknown domain" is_unknown
# The stand-ins of backend servers are all in one failure domain.
wait_for 20 "an acknowledgement" is_done d1 begin
platform_signal KILL 1 2 3
platform_start 1 2 3
wait_for 20 "a leader that knows it" has_event domain_is_out
cancelled() {
	platform_http DELETE "$NET.4:$FRONT" /q/00000000000000aa "" \
	    "Host: h" >/dev/null
	[ "$(status)" = 200 ]
}
wait_for 20 "a cancel" cancelled
sleep 2
note "starts: $(grep -c 'start 00000000000000bb' "$WORK/workers.out")"
note "state: $(platform_state q 00000000000000bb)"
wait_for 20 "an acknowledgement" is_done d1 begin
wait_for 20 "an acknowledgement" is_done d1 finish
wait_for 20 "the job" platform_is q 00000000000000bb completed
note "completed"
