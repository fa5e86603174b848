# Checks what the backend servers ran: no task twice at the same time, and no
# start after a run that ended "done".  Input: "start TASK RUN WORKER MS" and
# "end TASK RUN WORKER MS HOW" in the order of each process.
function complain(text) {
	print "RUNS: " text
	broken = 1
}

{ key = $2 " " $3 " " $4 }

$1 == "start" { begin[key] = $5; task[key] = $2 }

$1 == "end" {
	finish[key] = $5
	if ($6 == "done" && (!($2 in done_ms) || $5 < done_ms[$2]))
		done_ms[$2] = $5
}

END {
	for (a in begin) {
		if (!(a in finish))
			finish[a] = 1e18
		if (task[a] in done_ms && begin[a] > done_ms[task[a]])
			complain(a " started after the task was done")
		runs[task[a]] = runs[task[a]] "|" a
	}
	for (name in runs) {
		count = split(substr(runs[name], 2), list, "|")
		for (i = 1; i <= count; i++) {
			for (j = i + 1; j <= count; j++) {
				a = list[i]
				b = list[j]
				if (begin[a] < finish[b] && begin[b] < finish[a])
					complain("two runs at once: " a ", " b)
			}
		}
	}
	exit broken
}
