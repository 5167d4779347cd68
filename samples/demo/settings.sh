# Prints the settings of one demo instance: settings.sh NAME FAILURE-DOMAIN NUMBER COUNT BASE-PORT
name=$1 domain=$2 number=$3 count=$4 base=$5
peers=""
for other in $(seq 1 "$count"); do
  [ "$other" = "$number" ] || peers="$peers{\"name\": \"entry$other\", \"address\": \"127.0.0.1:$((base + 20 + other))\"},"
done
cat <<EOF
{
  // Demo instance $name.
  "name": "$name", "failureDomain": "$domain",
  "listen": "127.0.0.1:$((base + 10 + number))",
  "peerListen": "127.0.0.1:$((base + 20 + number))",
  "sessionKey": "demo-session-key", "operatorKey": "demo-operator-key",
  "peers": [${peers%,}],
  "platform": {"address": "127.0.0.1:$base"},
  "traces": {"collector": "127.0.0.1:$base"},
  "workspaces": [{"name": "recife", "key": "demo-key"}],
  "timing": {"entriesTtlMs": 2000, "abandonAfterMs": 2000},
  "upstreams": [
    {"name": "engine1", "kind": "model-engine", "address": "127.0.0.1:$((base + 1))", "failureDomain": "a", "models": ["planner-small"], "checksFencing": true},
    {"name": "engine2", "kind": "model-engine", "address": "127.0.0.1:$((base + 2))", "failureDomain": "b", "models": ["planner-small"], "checksFencing": true},
    {"name": "engine3", "kind": "model-engine", "address": "127.0.0.1:$((base + 3))", "failureDomain": "c", "models": ["planner-large"], "checksFencing": true},
    {"name": "stock1", "kind": "plain-service", "service": "stockroom", "address": "127.0.0.1:$((base + 4))", "failureDomain": "a", "calls": [{"path": "/stock/", "repeatable": true}]},
    {"name": "stock2", "kind": "plain-service", "service": "stockroom", "address": "127.0.0.1:$((base + 6))", "failureDomain": "b", "calls": [{"path": "/stock/", "repeatable": true}]},
    {"name": "desk1", "kind": "plain-service", "service": "orders", "address": "127.0.0.1:$((base + 5))", "failureDomain": "b", "calls": [{"path": "/confirm", "repeatable": false}]}
  ]
}
EOF
