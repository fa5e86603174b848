# Compares the backend servers' ledger (first file: EVENT WORKER TASK TAG) with
# the callers' ledger (second file: TAG OUTCOME copy|first repeatable|once).
# Reports a request that may not be repeated and ran twice, one that ran though
# every answer said it did not, one answered done that never ran, and answers
# that were wrong.
FNR == NR {
	if ($1 == "start")
		starts[$4]++
	next
}
{
	tag = $1
	answers[tag]++
	if ($4 == "once")
		once[tag] = 1
	told[tag, $2]++
	if ($2 == "wrong")
		problem("wrong answer for " tag)
}
END {
	for (tag in answers) {
		if ((tag in once) && starts[tag] > 1)
			problem(tag " ran " starts[tag] " times")
		if (told[tag, "done"] > 0 && starts[tag] == 0)
			problem(tag " answered done but never ran")
		if (told[tag, "did_not_run"] == answers[tag] && starts[tag] > 0 && \
		    (tag in once))
			problem(tag " said did_not_run but ran")
		if (told[tag, "did_not_run"] == answers[tag] && starts[tag] > 0 && \
		    !(tag in once))
			problem(tag " said did_not_run but ran (repeatable)")
	}
	exit bad
}
function problem(text) {
	print "ledger: " text
	bad = 1
}
