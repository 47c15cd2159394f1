title: "a zone is cut off for 40 s, longer than a lease, and all go on to send to the same cold cache"
routers: 6
zones:   2
caches:  6
lasts:   60s
rate:    100
kb:      200
faults: [
	{at: 1s, do: "cut", zone: 1, for: 40s},
	{at: 2s, do: "cold", cache: 1},
	{at: 26s, do: "cold", cache: 2},
	{at: 34s, do: "cold", cache: 0},
	{at: 42s, do: "cold", cache: 1},
]
expects: {false_failed: 36, joined_within: 5s}
