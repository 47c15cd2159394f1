title: "twenty are killed and started within a second, beside a cache that starts cold"
routers: 20
lasts:   20s
rate:    120
kb:      200
faults: [
	{at: 1s, do: "restart", who: [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19]},
	{at: 3s, do: "cold", cache: 0},
]
expects: joined_within: 15s
