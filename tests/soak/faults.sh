# Faults of the soak: a schedule drawn from a seed, and how each is made.
# shellcheck shell=sh

# schedule SEED SECONDS: lines "PAUSE KIND N LENGTH", times in seconds.  Faults
# of control instances come one at a time, with time to catch up after a lost
# disk; all others overlap with them.
schedule() {
	awk -v seed="$1" -v seconds="$2" 'BEGIN {
		srand(seed)
		kinds = split("kill term freeze wipe herd entry_kill " \
		    "entry_term entry_freeze backend_freeze cut_callers " \
		    "cut_backends cut_one_way silence domain", kind, " ")
		for (at = 0; at < seconds; at += pause) {
			pause = 0.2 + rand() * 1.3
			n = int(rand() * 3) + 1
			print pause, kind[int(rand() * kinds) + 1], n,
			    0.1 + rand() * 2.5
		}
	}'
}

# ended N: notes an instance that has ended before it was told to.
ended() {
	eval "is_running \$PID_p$1" || echo "p$1" >>"$WORK/exits"
}

# restart SIGNAL LENGTH N...: ends instances and starts them again.
restart() {
	signal=$1
	length=$2
	shift 2
	for n in "$@"; do
		ended "$n"
	done
	platform_signal "$signal" "$@"
	for n in "$@"; do
		eval "wait \$PID_p$n" 2>/dev/null
	done
	sleep "$length"
	platform_start "$@"
}

# pause PID LENGTH: in the background.
pause() {
	(
		signal_own STOP "$1"
		sleep "$2"
		signal_own CONT "$1"
	) &
}

# impair LENGTH RULE...: network rules for a time.
impair() {
	length=$1
	shift
	rule "$@"
	(
		sleep "$length"
		: >"$WORK/rules"
	) &
}

# order DOMAIN VERB: an order about a failure domain, until it is acknowledged.
order() {
	path=/api/evacuations/$1/$2
	while :; do
		for n in 1 2 3; do
			"$BUILD/standin-http" POST "http://$NET.$n:$CONTROL$path" \
			    "" >/dev/null 2>"$WORK/order"
			[ "$(cat "$WORK/order")" != 200 ] || return 0
		done
		sleep 0.2
	done
}

# take_out DOMAIN LENGTH: takes it out of service until LENGTH after the bound
# for starts, and notes "DOMAIN FROM TO": no task may start there meanwhile.
take_out() {
	order "$1" begin
	from=$(($(date +%s%3N) + EVAC_MS))
	sleep "$((EVAC_MS / 1000))"
	sleep "$2"
	echo "$1 $from $(date +%s%3N)" >>"$WORK/out_of_service"
	order "$1" finish
}

# apply KIND N LENGTH: N is 1 to 3.
apply() {
	entry=$(($2 % 2 + 4))
	backend=$(($2 % 2 + 1))
	case $1 in
	kill) restart KILL "$3" "$2" ;;
	term) restart TERM 0 "$2" ;;
	herd) restart KILL "$3" 1 2 3 ;;
	freeze)
		eval "pause \$PID_p$2 $3"
		sleep "$3"
		;;
	wipe)
		restart_wiped "$2" "$3"
		# A lost disk counts until the instance has caught up.
		sleep 4
		;;
	entry_kill) restart KILL 0.1 "$entry" ;;
	entry_term) restart TERM 0 "$entry" ;;
	entry_freeze) eval "pause \$PID_p$entry $3" ;;
	backend_freeze) eval "pause \$PID_b$backend $3" ;;
	cut_callers) impair "$3" "cut callers p$entry" "cut p$entry callers" ;;
	cut_backends) impair "$3" "cut control w$2" "cut w$2 control" \
	    "cut workers p$2" ;;
	cut_one_way) impair "$3" "cut w$2 control" ;;
	domain)
		# One at a time.
		[ -z "${DOMAIN_PID:-}" ] || ! is_running "$DOMAIN_PID" || return 0
		take_out "d$backend" "$3" &
		DOMAIN_PID=$!
		;;
	silence) impair "$3" "silence control w$2" "silence workers p$2" ;;
	esac
}

# restart_wiped N LENGTH: an instance loses power and its disk.
restart_wiped() {
	ended "$1"
	platform_signal KILL "$1"
	eval "wait \$PID_p$1" 2>/dev/null
	sleep "$2"
	rm -rf "$WORK/p$1"
	mkdir -p "$WORK/p$1"
	platform_start "$1"
}

# play_faults SEED SECONDS: the faults of a run; all of them are over at the end.
play_faults() {
	until=$(($(date +%s) + $2))
	schedule "$1" "$2" >"$WORK/schedule"
	while read -r pause kind n length; do
		[ "$(date +%s)" -lt "$until" ] || break
		echo "$(date +%s%3N) $kind $n $length" >>"$WORK/faults"
		apply "$kind" "$n" "$length"
		sleep "$pause"
	done <"$WORK/schedule"
	sleep 3
	: >"$WORK/rules"
	[ -z "${DOMAIN_PID:-}" ] || wait "$DOMAIN_PID"
}
