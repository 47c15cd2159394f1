title: "one router is stopped for 5 s under traffic, and goes on"
routers: 5
lasts:   14s
faults: [{at: 2s, do: "pause", who: [1], for: 5s}]
expects: {views: 0, joined_within: 1s}
