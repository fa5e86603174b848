# Guards against settings that are half read: every problem is reported with its
# path and line before anything starts.
. tests/lib.sh
good='"instance": "i1", "address": "127.0.0.1", "failure_domain": "d1",
"roles": ["entry"], "rpc_port": 1, "http_port": 2, "operator_port": 3,
"peers": [{"id": "i1", "address": "127.0.0.1", "failure_domain": "d1",
"rpc_port": 1, "http_port": 2, "operator_port": 3}]'
try() {
	printf '%s' "$2" >"$WORK/s.json"
	"$BUILD/chervilholdd" --check-settings "$WORK/s.json" \
	    >"$WORK/out" 2>&1
	note "$1: exit $?"
	sed "s|$WORK/||" "$WORK/out"
}
try "good" "{$good}"
try "syntax" "{$good,}"
try "unknown key" "{$good, \"colour\": 1}"
try "duplicate key" "{$good, \"address\": \"127.0.0.1\"}"
try "two at once" "{$good, \"heartbeat_ms\": 1, \"log_level\": 5}"
try "contradiction" "{$good, \"heartbeat_ms\": 400}"
try "host name" '{"instance": "i1", "address": "localhost"}'
try "not an object" '[]'
"$BUILD/chervilholdd" --check-settings "$WORK/none.json" >"$WORK/out" 2>&1
note "no file: exit $?"
"$BUILD/chervilholdd" --colour >"$WORK/out" 2>&1
note "bad option: exit $? $(cat "$WORK/out")"
"$BUILD/chervilholdd" >"$WORK/out" 2>&1
note "no settings: exit $? $(cat "$WORK/out")"
printf '{%s}' "$good" >"$WORK/s.json"
"$BUILD/chervilholdd" --print-settings "$WORK/s.json" >"$WORK/printed.json"
"$BUILD/chervilholdd" --check-settings "$WORK/printed.json"
note "printed settings are valid: exit $?"
