title:   "every field of a trial"
routers: 6
caches:  4
lasts:   20s
joins:   5s
rate:    75
writes:  0.25
kb:      64
window:  1500ms
swarm:   true
twins: [1, 4]
zones: 3
ahead: [0s, 2s, 500ms]
crowd: {tries: 3, patience: 1500ms, heeds: false, items: 50}
bears: {origin: 120, places: 6, stop: 700ms}
faults: [
	{at: 9s, do: "kill", some: 2},
	{at: 1s, do: "cut", who: [0], to: [1, 2], both: false, for: 2s},
	{at: 2s, do: "cut", who: [3, 4], for: 1s},
	{at: 3s, do: "pause", zone: 2, for: 500ms},
	{at: 4s, do: "weather", lose: 0.2, delay: [5ms, 50ms], repeat: 0.1, for: 1s},
	{at: 5s, do: "cold", cache: 3},
	{at: 5s, do: "swallow", of: ["cache-0", "log"], for: 1s},
	{at: 6s, do: "clock", who: [5], back: 3s},
	{at: 7s, do: "surge", factor: 4, for: 2s},
	{at: 7s, do: "slow", factor: 0.5, for: 2s},
	{at: 10s, do: "start", who: [0, 1]},
	{at: 12s, do: "roll", who: [0, 1, 2]},
	{at: 13s, do: "purge"},
]
expects: {
	false_failed:    1
	views:           9
	joined_within:   8s
	amplification:   2.5
	recovers_within: 4s
	valued:          0.75
	lost:            2
}
