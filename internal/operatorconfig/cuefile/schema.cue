// The operators' settings. Fields that end in _ms are times in milliseconds, fields that end in _mb sizes in megabytes.
// An absent field has the default, the value after the star. docs/consul.md gives the reason for each default.

#Settings: {
	// source of the engine list: "changelog" is the platform's change log
	source: *"changelog" | "consul"

	log: {
		level:  *"info" | "debug" | "warn" | "error"
		format: *"text" | "json"
	}

	consul: {
		// servers or agents, tried in turn: HOST:PORT, or https://HOST:PORT
		addresses:  [...=~"^(https?://)?[^/:]+:[0-9]+/?$" | =~"^(https?://)?\\[[0-9a-fA-F:.]+\\]:[0-9]+/?$"] | *["127.0.0.1:8500"]
		service:    (string & !="") | *"engine"
		datacenter: string | *""
		namespace:  string | *""
		tag:        string | *""
		filter:     string | *""
		// request passing instances only: an instance with a failing check then looks deregistered
		passing:     bool | *false
		consistency: *"default" | "stale" | "consistent"

		// paths of files; "" means no file
		token_file:  string | *""
		ca_file:     string | *""
		server_name: string | *""
		cert_file:   string | *""
		key_file:    string | *""

		max_body_mb:    (int & >=1 & <=1024) | *64
		connect_ms:     (int & >=10 & <=10000) | *500
		wait_ms:        (int & >=500 & <=600000) | *5000
		slack_ms:       (int & >=100 & <=60000) | *1500
		max_slack_ms:   (int & >=slack_ms & <=600000) | *12000
		confirm_ms:     (int & >=100 & <=60000) | *2000
		min_gap_ms:     (int & >=1 & <=10000) | *10
		max_read_share: (number & >0 & <=1) | *0.2
		min_pause_ms:   (int & >=10 & <=60000) | *100
		max_pause_ms:   (int & >=10 & <=600000) | *3000
		hold_ms:        (int & >=1000 & <=3600000) | *30000

		// places of the fields of an engine: "meta:KEY", "node_meta:KEY", "tag:PREFIX", "datacenter" or "" (none)
		map: {
			#place:     "" | "datacenter" | =~"^(meta|node_meta|tag):."
			zone:       #place | *"meta:zone"
			kind:       #place | *"meta:kind"
			cell:       #place | *"meta:cell"
			weight:     #place | *""
			mark:       #place | *"meta:start"
			started:    #place | *"meta:started_ms"
			drain_tag:  string | *"draining"
			drain_meta: string | *"draining"
		}
	}

	membership: {
		max_lag_ms:       (int & >=1 & <=600000) | *2000
		max_out:          (number & >=0 & <=1) | *0.25
		max_loss:         (number & >=0 & <=1) | *0.25
		loss_window_ms:   (int & >=1 & <=3600000) | *10000
		confirm_reads:    (int & >=1 & <=1000) | *3
		confirm_after_ms: (int & >=1 & <=3600000) | *10000
		doubt_for_ms:     (int & >=1 & <=86400000) | *60000
		reset_after_ms:   (int & >=1 & <=3600000) | *10000
		penalty:          (number & >0 & <=1000) | *1
		half_life_ms:     (int & >=1 & <=3600000) | *15000
		suppress:         (number & >0 & <=1000) | *2.5
		reuse:            (number & >0 & <=1000) | *0.75
		max_suppress_ms:  (int & >=1 & <=86400000) | *60000
		linger_ms:        (int & >=1 & <=3600000) | *30000
	}

	last_good: {
		// "" stores no list; the file needs a disk that persists across restarts
		path:           string | *""
		write_every_ms: (int & >=1 & <=3600000) | *1000
		// 0 means no limit
		max_age_ms: (int & >=0 & <=604800000) | *86400000
	}

	clients: {
		// a session without requests is closed after this time
		idle_ms: (int & >=1000 & <=86400000) | *5000
		// 0 means two fifths of the descriptors that the platform's configuration allows; the limit is at most half of them
		max_sessions: (int & >=0 & <=1048576) | *0
	}

	engines: {
		// reuse of a connection after its query has ended: "auto" reuses if the platform puts a price on new connections
		reuse: *"auto" | "on" | "off"
	}

	// path of a local socket for gatewayctl; "" means no socket
	admin_socket: string | *""

	// Membership in the fleet of front ends (docs/rollout.md). Disabled if gossip is "".
	fleet: {
		// HOST:PORT, TCP and UDP, reachable from all front ends
		gossip:   string | *""
		room:     string | *""
		kind:     string | *""
		revision: string | *""
		// capacity of this front end, in requests per second
		weight: (number & >=0 & <=1000000) | *0
		// 1, 3, 5 or 7 front ends that replicate the log, preferably in as many zones (room); the same at all front ends
		keepers: *[] | [...{name: string, log: string, ask: string, gossip: string}]
		// directory of the log, at front ends that replicate the log
		dir: string | *""
		// file with a key of 16, 24 or 32 bytes, the same at all front ends
		key_file: string | *""
		// "FROM=TO": address TO is dialled in place of address FROM
		routes: *[] | [...=~"^.+=.+$"]
		// for fault tests: file that holds "full", "sync" or "slow" while the log's disk is to fail in that way
		disk_faults: string | *""
		// for fault tests: assumed lead of the fleet's clock over the machine's clock
		ahead_ms: (int & >=0 & <=3600000) | *0
	}
}
