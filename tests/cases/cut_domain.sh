# Guards what a failure domain that is cut off may do: repeatable requests go
# on, others are refused as not run, and after the cut all is as before.
. tests/lib.sh
WITH_RELAY=1
start_today 2
log_mark=$(($(wc -c <"$WORK/i4.log") + 1))
cut_off i3 i4
unconfirmed() {
	[ "$(status_of i4 | json confirmed)" = false ]
}
wait_for 10 "i4 notices the cut" unconfirmed
# Until then a request may be passed on to an instance behind the cut.
wait_for 10 "i4 notices every silent peer" noticed_silence i4 i1 i2 i5 i6 i7
note "i4 confirmed: $(status_of i4 | json confirmed)"
URL=http://$(field address i4):$(field http i4)
call --count 50 --repeatable --prefix rep --sleep-ms 5
note "repeatable: done $(summary done) of $(summary sent)"
call --count 50 --prefix once --sleep-ms 5
note "not repeatable: did_not_run $(summary did_not_run) of $(summary sent)"
URL=http://$(field address i1):$(field http i1)
call --count 50 --prefix major --sleep-ms 5
note "majority side: done $(summary done) of $(summary sent)"
heal
confirmed() {
	[ "$(status_of i4 | json confirmed)" = true ]
}
wait_for 5 "i4 confirmed after the cut" confirmed
URL=http://$(field address i4):$(field http i4)
call --count 50 --prefix healed --sleep-ms 5
note "after the cut: done $(summary done) of $(summary sent)"
check_ledgers
