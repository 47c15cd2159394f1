title: "two routers are cut off from the other three, and all go on to send to the same cold cache"
routers: 5
lasts:   15s
rate:    100
kb:      200
faults: [
	{at: 1s, do: "cut", who: [0, 1], to: [2, 3, 4], for: 9s},
	{at: 2s, do: "cold", cache: 1},
	{at: 8s, do: "cold", cache: 2},
]
expects: {false_failed: 12, joined_within: 2s}
