title: "all are restarted in order, one after the other, under traffic"
routers: 5
lasts:   20s
window:  1s
faults: [{at: 1s, do: "roll", who: [0, 1, 2, 3, 4]}]
expects: joined_within: 19s
