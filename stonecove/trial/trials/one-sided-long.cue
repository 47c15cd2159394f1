title: "what one router sends another is swallowed for 30 s; then what it sends anybody, as long"
routers: 5
lasts:   75s
faults: [
	{at: 1s, do: "cut", who: [0], to: [1], both: false, for: 30s},
	{at: 35s, do: "cut", who: [0], both: false, for: 30s},
]
expects: {false_failed: 8, joined_within: 6s}
