// The schema of a scale file. What it does not name stays as it is without the file.

#Scale: {
	// Routers at each size, rising; the costs at all but the last predict those at the last.
	sizes?: [...int & >=2 & <=2000]
	caches?: int & >=1 & <=1000
	// Whole routers among them, and hollow ones in one process.
	real?:               int & >=0 & <=50
	hollow_per_process?: int & >=1 & <=500
	purges_a_second?:    number & >0 & <=1000
	// Failures and restarts of a day come so many times faster.
	day_factor?: number & >=0 & <=10000
	// Of load at each size, without faults; faults come at the last size, one after the other.
	seconds?: number & >=2 & <=3600
	faults?: [...("routers-restarted" | "routers-killed" | "machine-killed" | "machine-cut" | "zone-cut" | "region-cut" | "slow-reader")]
	// Sent to all real routers together.
	requests_a_second?: number & >=0 & <=2000
	seed?:              int
	swarm?:             bool
	// Changes of settings are rolled out to the hollow routers.
	rollout?: bool
}
