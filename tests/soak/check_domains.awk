# Checks that no task started in a failure domain that was out of service.
# Input: lines "DOMAIN FROM TO", then those of check_runs.awk, whose WORKER is
# wNN/INCARNATION; four backend servers make a failure domain.
NR == FNR { domain[++count] = $1; from[count] = $2; to[count] = $3; next }

$1 == "start" {
	own = "d" int(substr($4, 2, 2) / 4) + 1
	for (k = 1; k <= count; k++) {
		if (own == domain[k] && $5 > from[k] && $5 < to[k]) {
			print "RUNS: " $2 " " $3 " started in " own
			broken = 1
		}
	}
}

END { exit broken }
