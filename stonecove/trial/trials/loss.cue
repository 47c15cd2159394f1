title: "three in ten datagrams are lost on all ways, others late or twice"
routers: 6
lasts:   13s
faults: [{at: 1s, do: "weather", lose: 0.3, delay: [2ms, 19ms], repeat: 0.05, for: 11s}]
expects: views: 0
