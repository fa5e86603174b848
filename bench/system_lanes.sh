# Short requests while batch work wants every slot: p99 against the same without
# batch work, here and with the FIFO baseline.
. bench/lib.sh

# measure NAME: prints p99 of short requests without and with batch work.
measure() {
	SUMMARY=$WORK/alone call --repeatable --stages 100:5000 --sleep-ms 10 \
	    --declared-ms 20 --prefix "$1-alone" --tenants desk
	SUMMARY=$WORK/batch call --repeatable --stages 30:9000 --sleep-ms 5000 \
	    --declared-ms 5000 --deadline-ms 60000 --prefix "$1-batch" \
	    --tenants cure &
	batch=$!
	sleep 3
	SUMMARY=$WORK/beside call --repeatable --stages 100:5000 --sleep-ms 10 \
	    --declared-ms 20 --prefix "$1-beside" --tenants desk
	kill "$batch" 2>/dev/null
	alone=$(SUMMARY=$WORK/alone summary done_p99_us)
	beside=$(SUMMARY=$WORK/beside summary done_p99_us)
	answered=$(SUMMARY=$WORK/beside summary done)
	sent=$(SUMMARY=$WORK/beside summary sent)
}

start_today 3
measure ours
figure lanes_short_p99_alone "$alone" us
figure lanes_short_p99_beside_batch "$beside" us
figure lanes_short_p99_ratio "$(ratio "$beside" "$alone")" x max 2
figure lanes_short_answered "$(ratio "$answered" "$sent")" share
cleanup_system
start_fifo
for domain in d1 d2 d3 d4; do
	start_workers "f-$domain-" "$domain" 3
done
sleep 2
measure fifo
figure lanes_fifo_short_p99_alone "$alone" us
figure lanes_fifo_short_p99_beside_batch "$beside" us
figure lanes_fifo_short_p99_ratio "$(ratio "$beside" "$alone")" x
