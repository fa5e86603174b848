# Guards the check of a configuration before it is sent: what instances refuse is
# an error with its place, what has no effect is a warning, and differences are
# listed; without a running system, and against one.
. tests/lib.sh
unset CHERVILHOLD_URL
# Checks the document on standard input; further arguments are options.
check() {
	cat >"$WORK/new.json"
	"$BUILD/chervilhold" check "$WORK/new.json" "$@" >"$WORK/out" 2>&1
	note "exit $?"
	sed "s|$WORK/||g" "$WORK/out"
}
note "fine"
check <<'EOF'
{"tenants": {"hall": {"weight": 2}}}
EOF
note "errors with their lines"
check <<'EOF'
{"tenants": {"hall": {
   "weight": 0,
   "colour": 1}},
 "claim_window_ms": "long"}
EOF
check <<'EOF'
{"tenants": {"hall": }}
EOF
check <<'EOF'
[]
EOF
note "guarantees over the hardware"
check <<'EOF'
{"tenants": {"hall": {}},
 "workspaces": {"w": {"tenant": "hall", "guarantees": [
   {"domain": "d1", "count": 99, "members": 1, "accelerators": 8,
    "adjacency": "worker"}]}}}
EOF
note "entries that contradict each other or have no effect"
check <<'EOF'
{"tenants": {"hall": {"quota_accelerators": 8}, "idle": {"quota_accelerators": 0}},
 "hardware": {"d4": {"accelerators_per_worker": 0}},
 "workspaces": {"w": {"tenant": "hall", "guarantees": [
   {"domain": "d1", "count": 2, "members": 1, "accelerators": 8,
    "adjacency": "worker"}]},
   "empty": {"tenant": "hall"}},
 "objectives": {"guarantees": {"threshold_ms": null}, "other": {"target": 0.9}}}
EOF
note "against a file, as JSON"
printf '{"tenants": {"hall": {}}}' >"$WORK/hall.json"
printf '{"claim_window_ms": 86400000, "hardware": {}, "tenants": {"hall":
{"weight": 3}, "old": {}}, "workspaces": {}, "objectives": {}}' >"$WORK/old.json"
check --against "$WORK/old.json" --json <<'EOF'
{"tenants": {"hall": {"weight": 4}, "old": null, "new": {}},
 "claim_window_ms": 90000}
EOF
note "unreadable"
check --against "$WORK/none.json" </dev/null
"$BUILD/chervilhold" check "$WORK/none.json" >/dev/null 2>&1
note "exit $?"
note "against a running system"
start_today 0
check --url "http://$(field address i1):$(field operator i1)" <<'EOF'
{"tenants": {"hall": {"weight": 2}}}
EOF
# The platform's document, with the decoder of its instances.
check_platform() {
	cat >"$WORK/new.json"
	"$BUILD/chervilholdd" --check-config "$WORK/new.json" "$@" \
	    >"$WORK/out" 2>&1
	note "exit $?"
	sed "s|$WORK/||g" "$WORK/out"
}
note "platform: errors"
check_platform <<'EOF'
{"version": 0,
 "routes": [{"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s",
   "timeoutMs": "soon"}],
 "services": [{"name": "s"}]}
EOF
check_platform <<'EOF'
{"version": 1, "services": [{"name": "s"}], "routes": [
 {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s", "timeoutMs": 9},
 {"name": "b", "host": "h", "pathPrefix": "/a/", "service": "s", "timeoutMs": 9}]}
EOF
note "platform: warnings"
check_platform <<'EOF'
{"version": 1, "services": [{"name": "s"}, {"name": "t"}], "routes": [
 {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s", "timeoutMs": 9,
  "maxAttempts": 1, "stretch": 2, "targetLatencyMs": 10},
 {"name": "b", "host": "h", "pathPrefix": "/a/0f", "service": "s",
  "timeoutMs": 9, "stretch": 2}],
 "tenants": [{"name": "hall", "apiKeys": [], "guaranteed": {"gpu": 8}}]}
EOF
note "platform: differences"
cp "$WORK/new.json" "$WORK/held.json"
check_platform --against "$WORK/held.json" <<'EOF'
{"version": 2, "services": [{"name": "s"}], "routes": [
 {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s", "timeoutMs": 99,
  "maxAttempts": 1, "stretch": 2, "targetLatencyMs": 10},
 {"name": "c", "host": "h", "pathPrefix": "/c/", "service": "s",
  "timeoutMs": 9, "stretch": 2, "maxAttempts": 2}],
 "tenants": [{"name": "hall", "apiKeys": ["k"], "guaranteed": {"gpu": 8}}]}
EOF
