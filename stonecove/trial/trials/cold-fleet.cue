title: "the one cache starts cold under twenty routers, and again; it drains, and the change log is lost"
routers: 20
caches:  1
lasts:   12s
rate:    400
kb:      40
swarm:   false
faults: [
	{at: 1s, do: "cold", cache: 0},
	{at: 2s, do: "drain", cache: 0, for: 300ms},
	{at: 3s, do: "down", of: ["log"], for: 1s},
	{at: 6s, do: "cold", cache: 0},
]
expects: {}
