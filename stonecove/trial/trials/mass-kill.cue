title: "seven in ten are killed at once and started again, with a cache that starts cold meanwhile"
routers: 10
lasts:   19s
rate:    100
kb:      200
faults: [
	{at: 2s, do: "kill", who: [0, 1, 2, 3, 4, 5, 6]},
	{at: 3s, do: "cold", cache: 0},
	{at: 8s, do: "start", who: [0, 1, 2, 3, 4, 5, 6]},
]
expects: {views: 3, joined_within: 9s}
