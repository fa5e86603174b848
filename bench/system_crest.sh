# A crest at three times the capacity: 12 backend servers of 8 slots and 200 ms
# requests make 480 requests a second.  Useful answers are those that arrive
# within the deadline of 1 s.
. bench/lib.sh
CAPACITY=480

measure() {
	call --repeatable --stages 300:4000,1440:4000,300:6000 --sleep-ms 200 \
	    --declared-ms 200 --deadline-ms 1000 --prefix "$1" \
	    --tenants hall,desk,north,south --bucket-ms 500
	# Buckets from 4.5 s to 8 s are the crest, the first one left out as
	# the queues fill.
	useful=$(awk '$1 == "bucket" && $2 >= 4500 && $2 < 8000 { n += $3 }
	    END { printf "%.1f", n / 3.5 }' "$WORK/summary")
	# First interval after the crest from which the answers a second stay
	# at 90% of the offered rate.
	recovery=$(awk '$1 == "bucket" && $2 >= 8000 && $2 < 14000 {
		if ($3 >= 0.9 * 150) { if (at == "") at = $2 - 8000 }
		else at = "" }
	    END { print at == "" ? 6000 : at }' "$WORK/summary")
}

start_today 3
measure ours
figure crest_useful_share "$(ratio "$useful" $CAPACITY)" of_capacity min 0.9
figure crest_refused_p99 "$(summary refused_p99_us)" us max 50000
figure crest_recovery "$recovery" ms max 2000
figure crest_lost "$(summary lost)" answers max 0
cleanup_system
start_fifo
for domain in d1 d2 d3 d4; do
	start_workers "f-$domain-" "$domain" 3
done
sleep 2
measure fifo
figure crest_fifo_useful_share "$(ratio "$useful" $CAPACITY)" of_capacity
figure crest_fifo_done_p99 "$(summary done_p99_us)" us
figure crest_fifo_recovery "$recovery" ms
