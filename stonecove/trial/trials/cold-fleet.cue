title: "the one cache starts cold under twenty routers, and again; it drains for a moment, and four routers return"
routers: 20
caches:  1
lasts:   8s
rate:    250
kb:      40
swarm:   false
faults: [
	{at: 1s, do: "cold", cache: 0},
	{at: 2s, do: "drain", cache: 0, for: 300ms},
	{at: 3s, do: "restart", who: [0, 1, 2, 3]},
	{at: 5s, do: "cold", cache: 0},
]
expects: {}
