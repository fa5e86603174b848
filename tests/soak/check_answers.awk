# Checks what callers saw: an accepted job is known, never fails, stays
# completed once it was, and ends.  Input: "MS submit ID STATUS" and
# "MS state ID STATUS STATE" in the order of time.
function complain(text) {
	print "ANSWERS: " text
	broken = 1
}

# An acceptance must be visible this long after it.
BEGIN { VISIBLE_MS = 3000 }

$2 == "submit" && $4 == 200 && !($3 in accepted) { accepted[$3] = $1 }

$2 == "state" && $4 == 200 {
	if (completed[$3] && $5 != "completed")
		complain($3 " was completed, then " $5)
	if ($5 == "completed")
		completed[$3] = 1
	else if ($5 == "failed" || $5 == "cancelled" || $5 == "aborted")
		complain($3 " is " $5)
}

$2 == "state" && ($4 == 404 || $4 == 410) && ($3 in accepted) &&
    $1 > accepted[$3] + VISIBLE_MS {
	complain($3 " is unknown, accepted " $1 - accepted[$3] " ms ago")
}

END {
	for (id in accepted) {
		if (!completed[id])
			complain(id " has not ended")
	}
	exit broken
}
