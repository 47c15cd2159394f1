title: "what one router sends another is swallowed for 30 s: others reach it, so nobody is failed"
routers: 5
lasts:   36s
faults: [{at: 1s, do: "cut", who: [0], to: [1], both: false, for: 30s}]
expects: {views: 0, joined_within: 1s}
