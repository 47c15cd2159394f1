// The operator's own file, for installations that are not the platform's: nothing reads it unless `--operator FILE`
// or STONECOVE_OPERATOR names it. Check it with `stonecove config check deploy/operator.cue`.

sources: {
	changelog: rank: 0
	zookeeper: {
		rank: 1
		servers: ["127.0.0.1:2181", "127.0.0.1:2182", "127.0.0.1:2183"]
		path:            "/stonecove/boxes"
		session_timeout: 6s
	}
}

presence: {
	path:   "/stonecove/routers"
	shares: "derived"
}

members: socket: "/tmp/stonecove-members.sock"
