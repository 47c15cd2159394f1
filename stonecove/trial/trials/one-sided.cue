title: "what one router sends another is swallowed for 7 s; then what it sends anybody"
routers: 5
lasts:   18s
faults: [
	{at: 1s, do: "cut", who: [0], to: [1], both: false, for: 7s},
	{at: 9s, do: "cut", who: [0], both: false, for: 5s},
]
expects: joined_within: 2s
