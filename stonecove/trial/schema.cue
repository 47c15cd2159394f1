// The schema of a trial file: who takes part, what load there is, what breaks when.

#Trial: {
	// What the trial is about, in a sentence.
	title:   string
	routers: *5 | int & >=2 & <=20
	caches:  *3 | int & >=1 & <=12
	// Load runs for so long, and faults come within; what is not over at its end is ended before the judge looks.
	lasts:   duration & >=1s & <=1h
	// Before the load, all routers get so long to be ready and to have counted each other.
	joins:   *20s | duration & >=0ms & <=5min
	rate:    *60.0 | number & >=0 & <=500
	// The part of requests that may run once only.
	writes:  *0.1 | number & >=0 & <=1
	// Work of a read, in KB.
	kb:      *40 | int & >=1 & <=2000
	// The rule's window for cold caches, and from what part of their capacity they start.
	window:  *3s | duration & >=200ms & <=30s
	swarm:   *true | bool
	// Routers that bear the name of the first of them.
	twins: *[] | [...int & >=0 & <=19]
	// Routers and caches stand in so many zones in turn, from zone 1 on.
	zones: *1 | int & >=1 & <=3
	// By router: how far its clock runs ahead from its first start on.
	ahead: *[] | [...duration & >=0ms & <=1h]
	// Clients that come when they come, wait for so long and come again; without it, each waits for the one before.
	crowd?: {
		tries:    *1 | int & >=1 & <=8
		patience: *3s | duration & >=100ms & <=20s
		// Stay away for as long as they are told to.
		heeds:    *true | bool
		items:    *400 | int & >=1 & <=1000000
	}
	// What the depot's servers bear, with lines, fills and an origin that stops when it is pressed.
	bears?: {
		// Fetches from the origin a second.
		origin: number & >0 & <=10000
		places: *4 | int & >=1 & <=64
		stop:   *2s | duration & >=0ms & <=30s
	}
	faults: *[] | [...#Fault]
	expects: #Expects
}

// Who: places of routers from 0, or as many as `some` says, drawn by the seed.
#Fault: {
	at: duration & >=0ms
	do: "kill" | "start" | "restart" | "pause" | "starve" | "terminate" | "cut" | "weather" | "cold" | "flood" | "roll" |
		"reset" | "swallow" | "down" | "drain" | "purge" | "clock" |
		"surge" | "slow"
	who?:  [...int & >=0 & <=19]
	some?: int & >=1 & <=20
	// All routers of that zone.
	zone?: int & >=1 & <=3
	// Servers, where ways to these break and not those between routers: "cache-0", "zone-1" (its caches), "parent",
	// "origin", "log". Who is not told is all routers then.
	of?: [...string]
	// Of clock: it is set by so much.
	back:  *0ms | duration & >=0ms & <=1h
	ahead: *0ms | duration & >=0ms & <=1h
	// Of cut: to whom; all others if it is not told.
	to?:   [...int & >=0 & <=19]
	both:  *true | bool
	for?:  duration & >=10ms
	lose:   *0.0 | number & >=0 & <=1
	delay:  *[0ms, 0ms] | [duration & >=0ms & <=10s, duration & >=0ms & <=10s]
	repeat: *0.0 | number & >=0 & <=1
	// Of surge and slow: what the load, or the origin's pace, is multiplied by.
	factor: *1.0 | number & >0 & <=20
	// Of cold and drain: which cache starts anew, cold and empty, or is on its way out.
	cache: *0 | int & >=0
}

// What holds besides the rules; the judge names what does not.
#Expects: {
	// Routers told to be failed though their process was there, at the most.
	false_failed: *0 | int & >=0
	// Views between the first fault and the end, at the most, of any router.
	views?: int & >=0
	// All who run are joined again within so long after the last fault is over.
	joined_within?: duration
	// Of a crowd: attempts for each request that was meant, in the worst second; seconds from the end of the last fault
	// until service is good again; the part of the valued class that is served in the end.
	amplification?:   number & >=1
	recovers_within?: duration
	valued?:          number & >=0 & <=1
	// Requests without an answer that no kill or pause explains.
	lost: *0 | int & >=0
}
