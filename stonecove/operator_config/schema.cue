// The schema of the operator's file. A file is unified with #Operator; docs/operator-file.md tells the language.

#Operator: {
	// Where the list of nodes comes from; the lower the rank, the more a source is trusted.
	sources: {
		changelog:  #ChangeLog
		zookeeper?: #ZooKeeper
	}
	// The router's own ephemeral node, kept by the session of sources.zookeeper.
	presence?: #Presence
	members:   #Members
	// Instances that one supervisor runs on this host: `stonecove fleet`.
	fleet?: #Fleet
	// Signed URLs and tokens, for the HTTP front and, where asked for, FastCGI.
	access?: #Access
	// A second front, beside FastCGI.
	http?: #Http
	// Membership among the routers themselves, by datagrams to the `peers` of the platform's configuration.
	swarm?: #Swarm
	// What a running router takes over: docs/configuration.md.
	configuration?: #Configuration
}

#Configuration: {
	// A running router takes over the settings of its own file (SIGHUP) and those that are rolled out.
	settings: *false | bool
	// Settings are rolled out below this path of sources.zookeeper. Needs settings: true.
	path?: #Path
	// So long a start waits for what is rolled out, before the router serves by its own file.
	start_wait: *2s | duration & >=0ms & <=1min
}

#Swarm: {
	// Without a name, the name of the platform's configuration. Each router needs one of its own.
	name?: string & =~"^[A-Za-z0-9_.-]{1,100}$"
	// counted: what cold nodes bear is shared by those who are there; settings: by the number in the settings.
	shares: *"counted" | "settings"
	// The part of 1/N for routers that are not counted by all others yet.
	own: *0.3 | number & >=0 & <=1
	// One member is probed in each.
	period: *600ms | duration & >=100ms & <=10s
	// So long a probe waits before others are asked to try.
	answer: *200ms | duration & >=5ms & <=5s
	helpers: *3 | int & >=0 & <=10
	// The least time from suspect to failed: longer than any pause that is to be borne.
	suspicion: *6s | duration & >=500ms & <=5min
	// The least time for which an answer lets a router act on its share, and after which a silent one's is freed.
	lease: *20s | duration & >=1s & <=1h
	// prove: who has no one at its address is over at once; hint: it is no more than silence.
	refusals: *"prove" | "hint"
}

#Http: {
	listen: #Address
	tls?: {certificate: string, key: string}
	connections: *128 | int & >=1 & <=100000
}

#Access: {
	// A key ring, or a folder of them (*.json); nobody else may read them.
	ring: string
	// A list of what is revoked.
	revoked?: string
	// FastCGI requests carry tokens as well: HTTP_AUTHORIZATION, HTTP_COOKIE or QUERY_STRING.
	fastcgi: *false | bool
	// Tokens for one request that are remembered at once.
	seen: *1000000 | int & >=1 & <=100000000
	// Signatures that are checked a second; an HMAC counts as a twentieth of one.
	checks:   *1000 | number & >0
	policies: [...#Policy]
}

#Policy: {
	// Holds below these whole segments, the longest prefix first.
	prefix: string & =~"^/"
	token:  *true | bool
	// Of cloudfront, edge-auth, cdni, bearer; none named: any.
	formats: *[] | [..."cloudfront" | "edge-auth" | "cdni" | "bearer"]
	methods: *["GET", "HEAD"] | [..."GET" | "HEAD" | "POST"]
	audience: *"" | string
	issuer:   *"" | string
	// By which clocks may differ.
	skew: *5s | duration & >=0ms & <=10min
	// For which a token may be good at the most.
	longest: *168h | duration & >=1s & <=8760h
	// For which a started object may go on after its token has expired.
	grace: *0ms | duration & >=0ms & <=1h
	// Each token is good for one request.
	once: *false | bool
	// A token has to name our depot.
	depot: *false | bool
	// Of one subject: requests a second, at once, open. 0: no bound.
	rate:       *0.0 | number & >=0
	burst:      *10.0 | number & >=1
	concurrent: *0 | int & >=0
	// Edge auth: the parameter's or cookie's name, the key of tokens that name none.
	edge_name: *"hdnts" | string & =~"^[A-Za-z0-9_-]+$"
	edge_key:  *"" | string
	// The most valued class: refused last when signatures or memory run short.
	floor: *false | bool
}

#Address: string & =~"^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"
#Path:    string & =~"^(/[^/]+)+$"

#ChangeLog: {
	rank: *0 | int & >=0 & <=99
	// Silent for so long, it has no say any more.
	silent_for: *10min | duration & >=1s & <=24h
}

#ZooKeeper: {
	rank: *1 | int & >=0 & <=99
	servers: [#Address, ...#Address]
	path: #Path
	// recursive: one persistent recursive watch (3.6 and later); a server without it is asked in the plain way.
	watches:         *"plain" | "recursive"
	session_timeout: *10s | duration & >=200ms & <=10min
	connect_timeout: *1s | duration & >=10ms & <=1min
	back_off: {
		first:   *50ms | duration & >=1ms & <=10s
		longest: *5s | duration & >=10ms & <=10min
		jitter:  *0.5 | number & >=0 & <=1
	}
	// Each credential is read from a file of its own, without the end of its last line.
	auth: *[] | [...{scheme: string & =~"^[a-z]+$", file: string}]
	// Without a connection, its claims stand for so long.
	stale_for: *5min | duration & >=100ms & <=24h
	// From departed (nothing fresh) to gone (what is out there is given up).
	linger:        *5s | duration & >=0ms & <=10min
	return_within: *1s | duration & >=0ms & <=1min
	mass: {
		share:  *0.5 | number & >=0 & <=1
		least:  *4 | int & >=1
		window: *1s | duration & >=10ms & <=10min
	}
	flap: {
		most:    *3 | int & >=1
		window:  *1min | duration & >=1s & <=24h
		hold:    *2s | duration & >=0ms & <=1h
		longest: *1min | duration & >=0ms & <=24h
	}
	most_bytes: *4KiB | size & >=64B & <=1000KB
}

#Presence: {
	path: #Path
	// Without a name, the name of the platform's configuration.
	name?: string & =~"^[A-Za-z0-9_.-]{1,100}$"
	// settings: fleet size and zone shares are those of the settings; derived: they are counted from the list.
	shares: *"settings" | "derived"
	grow:   *1s | duration & >=0ms & <=10min
	shrink: *10s | duration & >=0ms & <=1h
}

#Members: {
	// A Unix socket, rights 0600, that answers `stonecove members` and `stonecove swarm`; none without it. `{name}`
	// stands for the router's name, where several read this file.
	socket?: string
	// When no source has a say: nothing gets fresh work, or the last list stands.
	nobody: *"refuse" | "keep"
	// Lines of the trace that are kept.
	trace: *4096 | int & >=0 & <=1000000
	// Changes that forbid nothing are told in batches no closer than this.
	batch: *10ms | duration & >=0ms & <=1s
}

#Fleet: {
	// Run files, logs, journal and control socket; of this supervisor alone.
	folder: string & =~"^/"
	// Instances by name, and groups of them that differ by number alone (NAME-0, NAME-1, ...).
	instances?: {[string]: #Instance}
	groups?: {[string]: #Group}
	// Instances may send each other datagrams (`swarm`): each listens at its own address and port by UDP as well, and
	// knows those of all others, beside the peers of its configuration.
	messages: *false | bool
	// One core for each instance, by the shares; what does not fit is refused.
	pin: *false | bool
	// Memory for all; 0: what the machine has.
	memory:       *0B | size & >=0B
	ready_within: *10s | duration & >=100ms & <=10min
	stop_within:  *3700ms | duration & >=100ms & <=10min
	back_off: {
		first:   *200ms | duration & >=10ms & <=1min
		longest: *30s | duration & >=10ms & <=1h
	}
	restarts: {
		most:   *5 | int & >=0
		within: *1min | duration & >=1s & <=24h
	}
	health: {
		every:  *1s | duration & >=20ms & <=1min
		within: *1s | duration & >=20ms & <=1min
		misses: *3 | int & >=1
	}
	roll_out: *1 | int & >=1
	log: {
		most_bytes: *10MB | size & >=1KB
		keep:       *3 | int & >=0 & <=100
		json:       *false | bool
	}
	// Budgets for cold boxes and retries that the instances share; without it, each keeps to its part by number.
	leases?: {
		// At least the window of the rule for cold boxes in the settings (overload_for).
		window: *3s | duration & >=100ms & <=1min
		// The part that stays with the instances, so much in all; 0: 0.3, and less above 20 instances.
		own: *0.0 | number & >=0 & <=1
	}
	// Requests a second, for all instances together. Needs leases.
	limits?: #FleetLimits
	// Traces of some requests, in a file `trace` of each instance's folder.
	tracing?: {
		ratio:      *0.01 | number & >=0 & <=1
		most_bytes: *10MB | size & >=1KB
		keep:       *2 | int & >=0 & <=100
	}
}

#Rate: {
	// Of its own, at once, and with what others leave.
	rate:  number & >0
	burst: number & >0
	ceil?: number & >0
	...
}

#FleetLimits: #Rate & {
	rate:  number
	burst: number
	ceil?: number
	// A part of the rate that only this class may use.
	floor?: {class: string, part: number & >0 & <1}
	zones?: {[string]: #ZoneLimit}
	// Of each client of a class, as the web server tells it (REMOTE_ADDR).
	client?: #Rate
}

#ZoneLimit: #Rate & {
	rate:  number
	burst: number
	ceil?: number
	classes?: {[string]: #Rate}
}

#Limits: {
	config: string
	cores:   *1.0 | number & >0 & <=1
	memory:  *192MB | size & >=16MB
	sockets: *256 | int & >=16 & <=1000000
	operator?: string
	...
}

#Instance: #Limits & {
	config: string
	listen: #Address
	cores:   number
	memory:  size
	sockets: int
	operator?: string
}

#Group: #Limits & {
	config: string
	host: string & =~"^[0-9]{1,3}(\\.[0-9]{1,3}){3}$"
	first_port: int & >=1 & <=65535
	count: int & >=1 & <=10000
	cores:   number
	memory:  size
	sockets: int
	operator?: string
}
