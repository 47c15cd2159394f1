title: "what one router sends anybody is swallowed for 30 s, while it hears all others"
routers: 5
lasts:   40s
faults: [{at: 1s, do: "cut", who: [0], both: false, for: 30s}]
expects: {false_failed: 4, joined_within: 6s}
