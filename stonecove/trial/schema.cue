// The schema of a trial file: its participants, its load, and its faults with their times.

#Trial: {
	// A description in one sentence.
	title:   string
	routers: *5 | int & >=2 & <=20
	caches:  *3 | int & >=1 & <=12
	// Duration of the load, in which all faults begin and end; processes are stopped before the judge's checks.
	lasts:   duration & >=1s & <=1h
	// Time limit for all routers to join, with the same view of the members, before the load starts.
	joins:   *20s | duration & >=0ms & <=5min
	rate:    *60.0 | number & >=0 & <=500
	// The fraction of requests that must not run more than once.
	writes:  *0.1 | number & >=0 & <=1
	// Work of a read, in KB.
	kb:      *40 | int & >=1 & <=2000
	// The window of the rules on shares and on the load of cold caches.
	window:  *3s | duration & >=200ms & <=30s
	swarm:   *true | bool
	// Routers that have the same name as the first of them.
	twins: *[] | [...int & >=0 & <=19]
	// Number of zones; routers and caches are assigned to them in turn, from zone 1 on.
	zones: *1 | int & >=1 & <=3
	// By router: how far its clock is ahead from its first start on.
	ahead: *[] | [...duration & >=0ms & <=1h]
	// Open-loop clients, which time out and retry; without it, each client waits for the previous answer.
	crowd?: {
		tries:    *1 | int & >=1 & <=8
		patience: *3s | duration & >=100ms & <=20s
		// Whether they wait for the delay that an answer asks for.
		heeds:    *true | bool
		items:    *400 | int & >=1 & <=1000000
	}
	// Capacity of the depot's servers, with queues, fills and an origin that stops when it is overloaded.
	bears?: {
		// Fetches from the origin per second.
		origin: number & >0 & <=10000
		places: *4 | int & >=1 & <=64
		stop:   *2s | duration & >=0ms & <=30s
	}
	faults: *[] | [...#Fault]
	expects: #Expects
}

// `who`: indices of routers from 0; `some`: number of routers to be drawn by the seed instead.
#Fault: {
	at: duration & >=0ms
	do: "kill" | "start" | "restart" | "pause" | "starve" | "terminate" | "cut" | "weather" | "cold" | "flood" | "roll" |
		"reset" | "swallow" | "down" | "drain" | "purge" | "clock" |
		"surge" | "slow"
	who?:  [...int & >=0 & <=19]
	some?: int & >=1 & <=20
	// All routers of this zone.
	zone?: int & >=1 & <=3
	// Servers, if the fault affects connections to them instead of those between routers: "cache-0", "zone-1" (its
	// caches), "parent", "origin", "log". By default, from all routers.
	of?: [...string]
	// For `clock`: by how much it is set back or ahead.
	back:  *0ms | duration & >=0ms & <=1h
	ahead: *0ms | duration & >=0ms & <=1h
	// For `cut`: the routers cut off from `who`; all others by default.
	to?:   [...int & >=0 & <=19]
	both:  *true | bool
	for?:  duration & >=10ms
	lose:   *0.0 | number & >=0 & <=1
	delay:  *[0ms, 0ms] | [duration & >=0ms & <=10s, duration & >=0ms & <=10s]
	repeat: *0.0 | number & >=0 & <=1
	// For `surge` and `slow`: the factor of the load, or of the origin's capacity.
	factor: *1.0 | number & >0 & <=20
	// For `cold` and `drain`: the cache that restarts empty, or drains.
	cache: *0 | int & >=0
}

// What has to hold besides the rules; the judge reports each violation.
#Expects: {
	// Maximum number of reports that declare a router failed although its process was running.
	false_failed: *0 | int & >=0
	// Maximum number of views of any router between the first fault and the end.
	views?: int & >=0
	// Time after the end of the last fault within which all running routers are joined again.
	joined_within?: duration
	// For a crowd: maximum number of attempts per intended request in the worst second; maximum time from the end of
	// the last fault until service is good again; minimum fraction of the valued class that is served in the end.
	amplification?:   number & >=1
	recovers_within?: duration
	valued?:          number & >=0 & <=1
	// Maximum number of requests without an answer that no kill or pause explains.
	lost: *0 | int & >=0
}
