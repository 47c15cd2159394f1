title: "what one router sends another is swallowed for 10 s; then what it sends anybody"
routers: 5
lasts:   30s
faults: [
	{at: 1s, do: "cut", who: [0], to: [1], both: false, for: 10s},
	{at: 13s, do: "cut", who: [0], both: false, for: 5s},
]
expects: joined_within: 2s
