title: "three in ten datagrams are lost on all ways, others late or twice"
routers: 6
lasts:   20s
faults: [{at: 1s, do: "weather", lose: 0.3, delay: [2ms, 19ms], repeat: 0.05, for: 18s}]
expects: views: 0
