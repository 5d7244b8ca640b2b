// Every field of the operators' settings, each with a value that is not its default.
source: "consul"
log: {
	level:  "debug"
	format: "json"
}
consul: {
	addresses: ["https://consul-1.internal:8501", "[2001:db8::1]:8500", "http://10.0.0.9:8500/"]
	service:        "query-engine"
	datacenter:     "regina"
	namespace:      "campus"
	tag:            "primary"
	filter:         "Service.Meta.tier == \"1\""
	passing:        true
	consistency:    "stale"
	token_file:     "/etc/settings/consul.token"
	ca_file:        "/etc/settings/ca.pem"
	server_name:    "consul.internal"
	cert_file:      "/etc/settings/cert.pem"
	key_file:       "/etc/settings/key.pem"
	max_body_mb:    17
	connect_ms:     321
	wait_ms:        4321
	slack_ms:       1234
	max_slack_ms:   11111
	confirm_ms:     2222
	min_gap_ms:     13
	max_read_share: 0.375
	min_pause_ms:   123
	max_pause_ms:   4567
	hold_ms:        34567
	map: {
		zone:       "node_meta:room"
		kind:       "tag:kind-"
		cell:       "datacenter"
		weight:     "meta:weight"
		mark:       "meta:mark"
		started:    "meta:since"
		drain_tag:  "leaving"
		drain_meta: "leave"
	}
}
membership: {
	max_lag_ms:       2345
	max_out:          0.125
	max_loss:         0.3125
	loss_window_ms:   12345
	confirm_reads:    5
	confirm_after_ms: 9876
	doubt_for_ms:     61234
	reset_after_ms:   10987
	penalty:          1.25
	half_life_ms:     16543
	suppress:         2.75
	reuse:            0.625
	max_suppress_ms:  65432
	linger_ms:        31234
}
last_good: {
	path:           "/var/lib/settings/engines.list"
	write_every_ms: 1111
	max_age_ms:     86500000
}
clients: {
	idle_ms:      5432
	max_sessions: 321
}
engines: reuse: "on"
admin_socket: "/run/settings/admin.sock"
fleet: {
	gossip:   "127.0.0.1:7946"
	room:     "north"
	kind:     "std-12"
	revision: "r42"
	weight:   1234.5
	keepers: [
		{name: "n1", log: "127.0.0.1:1", ask: "127.0.0.1:2", gossip: "127.0.0.1:3"},
		{name: "n2", log: "127.0.0.2:1", ask: "127.0.0.2:2", gossip: "127.0.0.2:3"},
		{name: "n3", log: "127.0.0.3:1", ask: "127.0.0.3:2", gossip: "127.0.0.3:3"},
	]
	dir:         "/var/lib/settings/log"
	key_file:    "/etc/settings/fleet.key"
	routes: ["127.0.0.1:1=127.0.0.9:1", "a=b=c"]
	disk_faults: "/tmp/settings.fault"
	ahead_ms:    4321
}
