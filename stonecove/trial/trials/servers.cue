title: "ways to caches, parent and change log break, a cache drains and a group is purged meanwhile"
routers: 6
caches: 4
zones: 2
lasts:   16s
rate:    80
faults: [
	{at: 1s, do: "cut", who: [0, 1], of: ["cache-0"], for: 3s},
	{at: 2s, do: "swallow", of: ["cache-1"], for: 1s},
	{at: 4s, do: "drain", cache: 2, for: 3s},
	{at: 5s, do: "purge"},
	{at: 5s, do: "reset", of: ["zone-1", "parent"]},
	{at: 8s, do: "down", of: ["zone-2"], for: 2s},
	{at: 9s, do: "cut", some: 3, of: ["log"], for: 2s},
	{at: 11s, do: "weather", of: ["zone-1", "zone-2"], lose: 0.1, delay: [2ms, 20ms], for: 3s},
]
expects: views: 0
