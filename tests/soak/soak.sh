#!/bin/sh
# Randomized soak: real processes on the stand-in platform, faults from outside,
# and the promises checked from what callers and backend servers saw.
# Usage: sh tests/soak/soak.sh SEED SECONDS.  Exits with 1 when one is broken.
. tests/platform.sh
. tests/soak/faults.sh
seed=$1
seconds=$2
SETTLE_S=40
EVAC_MS=5000
BOUNDS=",\"evacMs\":$EVAC_MS"

# start_relays: callers, backend servers and control instances meet by relay.
start_relays() {
	: >"$WORK/rules"
	links=""
	for n in 4 5; do
		links="$links --link $RELAY:1750$n=$NET.$n:$FRONT,callers,p$n"
	done
	for n in 1 2 3; do
		links="$links --link $RELAY:1710$n=$NET.$n:$CONTROL,workers,p$n"
	done
	for w in 0 1 2 3 4 5 6 7; do
		port=$((WORKERS + w))
		links="$links --link $RELAY:$port=$WORKER_ADDRESS:$port,control,w$w"
	done
	# shellcheck disable=SC2086
	"$BUILD/standin-relay" $links --control "$WORK/rules" \
	    >"$WORK/relay.log" 2>&1 &
	PIDS="$PIDS $!"
}

# start_backends NUMBER FIRST: a process of four backend servers.
start_backends() {
	"$BUILD/standin-platform_worker" --address "$WORKER_ADDRESS" \
	    --port "$WORKERS" --count 4 --first "$2" --accelerators 8 \
	    --advertise "$RELAY" --control "$RELAY:17101" \
	    --control "$RELAY:17102" --control "$RELAY:17103" \
	    --commands "$((COMMANDS + $1))" \
	    >>"$WORK/workers$1.out" 2>>"$WORK/workers$1.log" &
	PIDS="$PIDS $!"
	eval "PID_b$1=$!"
}

# queue_of NUMBER: every third job is urgent.
queue_of() {
	[ $(($1 % 3)) = 0 ] && echo urgent || echo q
}

# state_of ADDRESS CALLER NUMBER: prints "ID STATUS STATE".
state_of() {
	id=$(printf '%08x%08x' "$2" "$3")
	state=$("$BUILD/standin-http" GET "http://$1/$(queue_of "$3")/$id" "" \
	    "Host: h" 2>"$WORK/code$2" | json state 2>/dev/null)
	echo "$id $(cat "$WORK/code$2") ${state:-none}"
}

# submit CALLER NUMBER: hands in a job, prints "ID STATUS".
submit() {
	id=$(printf '%08x%08x' "$1" "$2")
	body="{\"spec\":\"$(($2 % 5 * 300 + 100)) gang\",\"steps\":[
	    {\"count\":$(($2 % 4 + 1)),\"cpu\":1000,\"memMb\":10,
	    \"gpu\":$(($2 % 8 + 1)),\"estMs\":500,\"gang\":true}]}"
	"$BUILD/standin-http" POST "http://$RELAY:1750$1/$(queue_of "$2")/$id" \
	    "$body" "Host: h" >/dev/null 2>"$WORK/code$1"
	echo "$id $(cat "$WORK/code$1")"
}

# caller N: hands in jobs and asks for their states through entry instance N,
# until WORK/stop exists.  Prints "MS submit ID STATUS" and "MS state ID STATUS
# STATE", with the time of the answer.
caller() {
	count=0
	while [ ! -e "$WORK/stop" ]; do
		count=$((count + 1))
		# Some are handed in again, as by a caller without an answer.
		said=$(submit "$1" $((count - (count % 7 == 6))))
		echo "$(date +%s%3N) submit $said"
		said=$(state_of "$RELAY:1750$1" "$1" $((count / 2 + 1)))
		echo "$(date +%s%3N) state $said"
		sleep 0.2
	done
}

# accepted: ids of jobs that some caller was told are stored.
accepted() {
	sed -n 's/.* submit \([0-9a-f]*\) 200$/\1/p' "$WORK"/caller*.out | sort -u
}

# ask_all: the states of all accepted jobs; fails while one has not ended.
ask_all() {
	left=0
	for id in $(accepted); do
		grep -q " $id 200 completed" "$WORK/final" && continue
		said=$(state_of "$NET.4:$FRONT" "$(printf '%d' "0x${id%????????}")" \
		    "$(printf '%d' "0x${id#????????}")")
		echo "$(date +%s%3N) state $said" >>"$WORK/final"
		case $said in *" completed") ;; *) left=$((left + 1)) ;; esac
	done
	[ "$left" = 0 ]
}

platform_settings 1 control
platform_settings 2 control
platform_settings 3 control
platform_settings 4 entry
platform_settings 5 entry
platform_start 1 2 3 4 5
start_relays
wait_for 20 "a configuration" platform_configure 1
wait_for 20 "p4 ready" is_entry_ready
start_backends 1 0
start_backends 2 4
BOOTSTRAP=false
for n in 1 2 3; do
	platform_settings "$n" control
done
caller 4 >"$WORK/caller4.out" &
CALLERS=$!
caller 5 >"$WORK/caller5.out" &
CALLERS="$CALLERS $!"
PIDS="$PIDS $CALLERS"
sleep 1
play_faults "$seed" "$seconds"
touch "$WORK/stop"
# Their last jobs are asked for too.
# shellcheck disable=SC2086
wait $CALLERS
# What callers were told before need not be asked again.
grep -h " completed" "$WORK"/caller*.out >"$WORK/final" || :
limit=$(($(date +%s) + SETTLE_S))
until ask_all; do
	[ "$(date +%s)" -lt "$limit" ] || break
	sleep 0.5
done
# Callers' logs in the order of time, each answer after its question.
sort -n "$WORK"/caller*.out "$WORK/final" >"$WORK/seen"
broken=0
# The end of the script shows what is wrong.
check_runs >/dev/null || broken=1
: >>"$WORK/out_of_service"
awk -f tests/soak/check_domains.awk "$WORK/out_of_service" "$WORK/runs" || broken=1
awk -f tests/soak/check_answers.awk "$WORK/seen" || broken=1
for n in 1 2 3 4 5; do
	! grep -l "ERROR: \|runtime error" "$WORK/p$n.log" || broken=1
done
exits=$(cat "$WORK/exits" 2>/dev/null)
[ -z "$exits" ] || { echo "ended without a signal: $exits"; broken=1; }
if [ "$broken" = 1 ]; then
	cp -r "$WORK" "${SOAK_KEEP:-/tmp}/soak-$seed-$$"
	echo "BROKEN: seed $seed, $seconds s; logs in ${SOAK_KEEP:-/tmp}/soak-$seed-$$"
	exit 1
fi
echo "seed $seed: $(wc -l <"$WORK/faults") faults, $(accepted | wc -l) jobs accepted," \
    "$(grep -c '^start' "$WORK/runs") runs" >&2
echo "held"
