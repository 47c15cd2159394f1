title:   "two routers, of which one is killed"
routers: 2
lasts:   10s
kb:      40
crowd: {patience: 1s}
bears: {origin: 100}
faults: [{at: 3s, do: "kill", who: [1]}]
expects: {
	views:           1
	joined_within:   2s
	amplification:   1.2
	recovers_within: 3s
	valued:          0.5
}
