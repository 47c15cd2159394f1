title: "one router runs for 50 ms of each 100 ms under traffic, while datagrams are lost"
routers: 5
lasts:   11s
faults: [
	{at: 1s, do: "starve", who: [2], for: 8s},
	{at: 2s, do: "weather", lose: 0.2, for: 6s},
]
expects: {views: 0, joined_within: 2s}
