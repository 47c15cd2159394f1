title: "all but one are killed at once and started again, with a cache that starts cold meanwhile"
routers: 8
lasts:   17s
rate:    100
kb:      200
faults: [
	{at: 1s, do: "kill", who: [0, 1, 2, 3, 4, 5, 6]},
	{at: 2s, do: "cold", cache: 0},
	{at: 6s, do: "start", who: [0, 1, 2, 3, 4, 5, 6]},
]
expects: {views: 3, joined_within: 9s}
