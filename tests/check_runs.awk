# Checks what the backend servers of the platform stand-in ran, over all of them
# and their incarnations: no task twice at one moment, no members of two runs of
# a gang at one moment, and no start after a run that ended "done".  Input:
#   start TASK RUN WORKER MS gang|single
#   end TASK RUN WORKER MS HOW     HOW "crashed" or "left": never listed
#   ack TASK RUN WORKER MS HOW     the end was acknowledged to the worker
#   lapse WORKER MS                the worker's lease ended
#   gone WORKER MS                 this incarnation has ended
# WORKER names one incarnation; lines of other kinds are ignored.
# An end "done" does not count when nobody learned of it: the incarnation was
# gone before it was acknowledged, or its lease ended between the two.
function complain(text) {
	if (++complaints <= MAX_SHOWN)
		print "RUNS: " text
}

# unit_of(TASK): the gang of a member's name, JOB.OCCURRENCE.STEP.
function unit_of(name) {
	sub(/\.[^.]*$/, "", name)
	return name
}

# lapsed_between(WORKER, FROM, TO): whether the worker's lease ended then.
function lapsed_between(name, from, to,    count, times, k) {
	count = split(lapses[name], times, " ")
	for (k = 1; k <= count; k++) {
		if (times[k] + 0 >= from && times[k] + 0 <= to)
			return 1
	}
	return 0
}

# counts_as_done(KEY): whether the system learned, or will learn, of this end.
function counts_as_done(key) {
	if (how[key] != "done")
		return 0
	if (!(key in acked) && (worker[key] in gone))
		return 0
	return !lapsed_between(worker[key], finish[key],
	    (key in acked) ? acked[key] : NEVER)
}

# check_order(A, B): A must not start after B's task or gang is done.
function check_order(a, b) {
	if (begin[a] <= finish[b] || !counts_as_done(b))
		return
	if (task[a] == task[b])
		complain(a " started after the task was done")
	else if (is_gang[a] && is_gang[b] && run[a] != run[b])
		complain(a " started after the gang was done by " b)
}

# check_overlap(A, B): two runs of one task or gang must not meet.
function check_overlap(a, b) {
	if (begin[a] >= finish[b] || begin[b] >= finish[a])
		return
	if (task[a] == task[b])
		complain("two runs at once: " a ", " b)
	else if (is_gang[a] && is_gang[b] && run[a] != run[b])
		complain("two runs of a gang at once: " a ", " b)
}

BEGIN {
	NEVER = 1e18
	MAX_SHOWN = 20
}

{ key = $2 " " $3 " " $4 }

$1 == "start" {
	begin[key] = $5
	finish[key] = NEVER
	task[key] = $2
	run[key] = $3
	worker[key] = $4
	is_gang[key] = $6 == "gang"
	unit = is_gang[key] ? unit_of($2) : $2
	if (!(unit in members))
		units[++unit_count] = unit
	members[unit] = members[unit] "|" key
}

$1 == "end" {
	finish[key] = $5
	how[key] = $6
}

$1 == "ack" { acked[key] = $5 }

$1 == "lapse" { lapses[$2] = lapses[$2] " " $3 }

$1 == "gone" { gone[$2] = $3 }

END {
	for (u = 1; u <= unit_count; u++) {
		count = split(substr(members[units[u]], 2), list, "|")
		for (i = 1; i <= count; i++) {
			for (j = i + 1; j <= count; j++) {
				check_overlap(list[i], list[j])
				check_order(list[i], list[j])
				check_order(list[j], list[i])
			}
		}
	}
	if (complaints > MAX_SHOWN)
		print "RUNS: " complaints " in all"
	exit complaints > 0
}
