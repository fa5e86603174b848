# Guards against a soak that could not fail: its checks must complain about logs
# that break a promise, and about nothing else.
. tests/lib.sh

# runs NAME: what the check says of the log on standard input, and its verdict.
runs() {
	awk -f tests/check_runs.awk
	note "$1: $?"
}

# answers TEXT: what the check says of the log, and its verdict.
answers() {
	echo "$1" | awk -f tests/soak/check_answers.awk
	note "answers: $?"
}

runs "one after the other" <<LOG
start a.0 1 w1 100
end a.0 1 w1 200 stopped
start a.0 2 w2 200
end a.0 2 w2 300 done
LOG
runs "two runs of a task" <<LOG
start a.0 1 w1 100
start a.0 2 w2 150
end a.0 1 w1 200 stopped
end a.0 2 w2 300 done
LOG
runs "after done" <<LOG
start a.0 1 w1 100
end a.0 1 w1 200 done
start a.0 2 w2 250
LOG
runs "after done, acknowledged before" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 done
ack a.0 1 w1/1 210 done
gone w1/1 220
start a.0 2 w2/1 250 single
LOG
runs "after done, acknowledged later" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 done
start a.0 2 w2/1 250 single
ack a.0 1 w1/1 260 done
LOG
runs "after done, lost with its worker" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 done
gone w1/1 220
born w1/2 220
start a.0 2 w1/2 250 single
LOG
runs "after done, of a lease that ended" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 done
lapse w1/1 240
start a.0 2 w2/1 250 single
end a.0 2 w2/1 260 stopped
ack a.0 1 w1/1 270 done
LOG
runs "after done, of a lease that ended later" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 done
start a.0 2 w2/1 250 single
ack a.0 1 w1/1 260 done
lapse w1/1 270
LOG
runs "after the end of an incarnation" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 crashed
gone w1/1 200
start a.0 2 w2/1 250 single
LOG
runs "late copy of a start" <<LOG
start a.0 1 w1/1 100 single
end a.0 1 w1/1 200 crashed
gone w1/1 200
start a.0 2 w2/1 250 single
late start a.0 w1/2 300
start a.0 1 w1/2 300 single
LOG
runs "two runs of a task on one worker" <<LOG
start a.0 2 w1/1 100 single
start a.0 1 w1/1 150 single
LOG
runs "tasks of a step, each by itself" <<LOG
start a.0.0.0 1 w1/1 100 single
start a.0.0.1 2 w2/1 150 single
end a.0.0.0 1 w1/1 200 done
end a.0.0.1 2 w2/1 240 failed
start a.0.0.1 3 w1/1 250 single
LOG
runs "members of two runs of a gang" <<LOG
start a.0.0.0 1 w1/1 100 gang
start a.0.0.1 2 w2/1 150 gang
start a.0.1.0 3 w2/1 150 gang
LOG
runs "a gang that was done" <<LOG
start a.0.0.0 1 w1/1 100 gang
start a.0.0.1 1 w2/1 100 gang
end a.0.0.1 1 w2/1 150 crashed
gone w2/1 150
end a.0.0.0 1 w1/1 200 done
ack a.0.0.0 1 w1/1 210 done
start a.0.0.1 2 w3/1 250 gang
LOG
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
