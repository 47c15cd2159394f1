title: "one is restarted while datagrams are up to 2 s late: words of its earlier life come after its new one"
routers: 5
lasts:   16s
window:  1s
faults: [
	{at: 1s, do: "weather", delay: [0ms, 2s], repeat: 0.2, for: 8s},
	{at: 4s, do: "restart", who: [1]},
]
expects: joined_within: 6s
