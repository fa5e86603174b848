# Guards against a body cut short by a backend server that is passed on as whole.
. tests/lib.sh
start_today 1
call --count 40 --cut --payload-bytes 2000 --prefix cut --sleep-ms 5 \
    --deadline-ms 3000
note "wrong $(summary wrong), lost $(summary lost)"
check_ledgers
