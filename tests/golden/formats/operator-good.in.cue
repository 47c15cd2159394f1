//== empty

//== sections-with-defaults
sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b"}
presence: path: "/r"
fleet: {folder: "/f", instances: a: {config: "a.json", listen: "10.0.0.9:7001"}, leases: {}, tracing: {}}
access: {ring: "/k", policies: [{prefix: "/"}]}
http: listen: "10.0.0.4:80"
swarm: {}
configuration: {}
members: {}
//== references-and-definitions
#Box: {config: string, sockets: 99, ...}
members: socket: "/var/f"
fleet: {
	folder: members.socket
	instances: {a: #Box & {config: "a.json", listen: "10.0.0.4:7001"}, b: {config: a.config, listen: "10.0.0.4:7002"}}
}
//== units
sources: changelog: silent_for: 1.5h
members: batch: 0.5s
fleet: {folder: "/f", memory: 1.5GiB, instances: a: {config: "a", listen: "10.0.0.4:1", memory: 20_000KB}}
