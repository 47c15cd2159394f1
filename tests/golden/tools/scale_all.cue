// Every field of a scale file.
sizes: [4, 8, 12, 40]
caches:             30
real:               3
hollow_per_process: 5
purges_a_second:    7.5
day_factor:         12
seconds:            3
faults: ["zone-cut", "slow-reader"]
requests_a_second: 11
seed:              9
swarm:             true
rollout:           true
