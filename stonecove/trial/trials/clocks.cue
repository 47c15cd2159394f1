title: "clocks 2 s apart, one set back and one ahead, under traffic"
routers: 5
lasts:   14s
ahead: [0s, 2s, 0s, 1s]
faults: [
	{at: 2s, do: "clock", who: [2], back: 30s},
	{at: 4s, do: "clock", who: [1], back: 5s},
	{at: 5s, do: "restart", who: [2]},
	{at: 8s, do: "clock", who: [3], ahead: 10s},
	{at: 9s, do: "cold", cache: 0},
]
expects: joined_within: 10s
