title: "a zone of routers is cut off from two others, a cache starts cold in each part, and the change log is down"
routers: 9
caches:  6
zones:   3
lasts:   15s
rate:    100
kb:      200
faults: [
	{at: 1s, do: "cut", zone: 1, for: 9s},
	{at: 2s, do: "cold", cache: 0},
	{at: 3s, do: "down", of: ["log"], for: 1s},
	{at: 7s, do: "cold", cache: 1},
]
expects: {false_failed: 36, joined_within: 3s}
