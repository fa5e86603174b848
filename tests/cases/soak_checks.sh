# Guards against a soak that could not fail: its checks must complain about logs
# that break a promise, and about nothing else.
. tests/lib.sh

# runs TEXT, answers TEXT: what a check says of the log, and its verdict.
runs() {
	echo "$1" | awk -f tests/soak/check_runs.awk
	note "runs: $?"
}

answers() {
	echo "$1" | awk -f tests/soak/check_answers.awk
	note "answers: $?"
}

runs "start a.0 1 w1 100
end a.0 1 w1 200 stopped
start a.0 2 w2 200
end a.0 2 w2 300 done"
runs "start a.0 1 w1 100
start a.0 2 w2 150
end a.0 1 w1 200 stopped
end a.0 2 w2 300 done"
runs "start a.0 1 w1 100
end a.0 1 w1 200 done
start a.0 2 w2 250"
answers "100 submit a 200
150 state a 404 none
200 state a 200 active
300 state a 200 completed"
answers "100 submit a 200
3200 state a 404 none
3300 state a 200 completed
3400 state a 200 active"
answers "100 submit a 200
200 submit b 504"
answers "100 submit a 200
200 state a 200 failed"
