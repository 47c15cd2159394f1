title: "the origin goes at a quarter of its pace for 5 s under full demand of clients that come again, then whole again"
routers: 6
caches:  4
lasts:   18s
rate:    90
writes:  0.1
window:  1s
crowd: {tries: 4, patience: 1500ms, items: 100000}
bears: origin: 140
faults: [{at: 4s, do: "slow", factor: 0.25, for: 5s}]
expects: {recovers_within: 6s}
