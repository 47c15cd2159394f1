// Every record, and every field of each at a value that is not its default.
sources: {
	changelog: {rank: 2, silent_for: 7min}
	zookeeper: {
		rank: 3
		servers: ["10.0.0.1:2181", "10.0.0.2:2182"]
		path:            "/depot/boxes"
		watches:         "recursive"
		session_timeout: 6s
		connect_timeout: 900ms
		back_off: {first: 70ms, longest: 4s, jitter: 0.25}
		auth: [{scheme: "digest", file: "/etc/depot/zk"}, {scheme: "ip", file: "/etc/depot/ip"}]
		stale_for:     4min
		linger:        3s
		return_within: 2s
		mass: {share: 0.75, least: 6, window: 1500ms}
		flap: {most: 5, window: 2min, hold: 3s, longest: 50s}
		most_bytes: 8KiB
	}
}
presence: {path: "/depot/routers", name: "edge-a", shares: "derived", grow: 2s, shrink: 20s}
members: {socket: "/run/{name}.sock", nobody: "keep", trace: 100, batch: 25ms}
fleet: {
	folder: "/var/lib/fleet"
	instances: {
		one: {config: "one.json", listen: "10.0.0.4:7001", cores: 0.5, memory: 64MB, sockets: 128, operator: "one.cue"}
		two: {config: "two.json", listen: "10.0.0.4:7002"}
	}
	groups: {
		row: {
			config: "row.json", host: "10.0.0.5", first_port: 8000, count: 3
			cores:  0.25, memory: 32MiB, sockets: 64, operator: "row.cue"
		}
		plain: {config: "plain.json", host: "10.0.0.6", first_port: 9000, count: 1}
	}
	messages:     true
	pin:          true
	memory:       2GB
	ready_within: 9s
	stop_within:  4s
	back_off: {first: 300ms, longest: 20s}
	restarts: {most: 4, within: 2min}
	health: {every: 2s, within: 700ms, misses: 5}
	roll_out: 2
	log: {most_bytes: 5MB, keep: 7, json: true}
	leases: {window: 5s, own: 0.4}
	limits: {
		rate: 100, burst: 20, ceil: 150.5
		floor: {class: "stream", part: 0.3}
		zones: {
			coast: {rate: 40, burst: 10, ceil: 60, classes: picture: {rate: 5, burst: 2, ceil: 7}}
			hills: {rate: 30, burst: 5}
		}
		client: {rate: 3, burst: 6, ceil: 4}
	}
	tracing: {ratio: 0.5, most_bytes: 3MB, keep: 4}
}
access: {
	ring:    "/etc/depot/keys"
	revoked: "/etc/depot/revoked.json"
	fastcgi: true
	seen:    5000
	checks:  250.5
	policies: [{
		prefix: "/svc/stream"
		token:  true
		formats: ["cloudfront", "edge-auth", "cdni", "bearer"]
		methods: ["GET", "HEAD", "POST"]
		audience:   "depot"
		issuer:     "door"
		skew:       4s
		longest:    12h
		grace:      3min
		once:       true
		depot:      true
		rate:       2.5
		burst:      4
		concurrent: 6
		edge_name:  "tok"
		edge_key:   "k1"
		floor:      true
	}, {prefix: "/open", token: false}]
}
http: {listen: "10.0.0.4:443", tls: {certificate: "/etc/depot/cert.pem", key: "/etc/depot/key.pem"}, connections: 64}
swarm: {
	name:      "edge-a"
	shares:    "settings"
	own:       0.2
	period:    800ms
	answer:    300ms
	helpers:   4
	suspicion: 7s
	lease:     30s
	refusals:  "hint"
}
configuration: {settings: true, path: "/depot/settings", start_wait: 3s}
