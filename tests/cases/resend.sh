# Guards against a request that may not be repeated and runs twice when its key
# is sent through several instances at once, and against answers that differ.
. tests/lib.sh
start_today 2
call --count 100 --concurrency 40 --duplicate 2 --prefix dup --sleep-ms 20
note "sent $(summary sent), done $(summary done)," \
    "unknown $(summary unknown), lost $(summary lost)," \
    "wrong $(summary wrong)"
note "started $(grep -c '^start .* dup-' "$WORK/ran.ledger")"
check_ledgers
