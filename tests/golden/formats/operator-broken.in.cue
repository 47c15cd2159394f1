//== syntax
sources: {changelog rank: 1}
//== fields-on-one-line
members: {trace: 1 batch: 5ms}
//== cut-short
sources: {
//== escape
members: socket: "\q"
//== import
import "strings"
//== arithmetic
members: trace: 1 + 2
//== unit-unknown
members: batch: 5parsecs
//== unknown-field
sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b", sesion_timeout: 5s}
//== unknown-section
sources: {}
quorum: 3
//== several-at-once
sources: zookeeper: {
	servers: []
	path: "x"
	linger: 20min
}
members: {trace: -1, nobody: "maybe"}
//== of-another-type
members: trace: "many"
http: {listen: 80}
//== duration-without-unit
members: batch: 5
//== size-for-duration
members: batch: 5KB
//== out-of-bounds
swarm: {own: 1.5, helpers: 11, period: 50ms, suspicion: 1h}
//== missing
http: {}
//== missing-in-access
access: policies: [{token: true}]
//== not-decided
http: listen: =~"^1"
//== twice
members: trace: 1
members: trace: 2
//== unknown-reference
members: trace: most
//== no-such-part
limits: {a: 1}
members: trace: limits.b
//== circle
a: b
b: a
//== regular-expression
http: listen: =~"("
//== pattern
{[int]: 1}
//== same-rank
sources: {changelog: rank: 1, zookeeper: {servers: ["10.0.0.1:2181"], path: "/b"}}
//== server-address
sources: zookeeper: {servers: ["10.0.0.300:1", "10.0.0.1:0"], path: "/b"}
//== back-off-order
sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b", back_off: {first: 9s, longest: 1s}}
//== flap-order
sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b", flap: {hold: 9min, longest: 1min}}
//== presence-without-zookeeper
presence: path: "/r"
//== presence-path
sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b"}
presence: path: "/b"
//== configuration-without-zookeeper
configuration: {settings: true, path: "/c"}
//== configuration-path
sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b"}
configuration: {settings: false, path: "/b"}
//== swarm-answer
swarm: {period: 300ms, answer: 200ms}
//== fleet-empty
fleet: folder: "/f"
//== fleet-names-and-addresses
fleet: {
	folder: "/f"
	instances: {"a b": {config: "a", listen: "10.0.0.4:70000"}, b: {config: "b", listen: "10.0.0.4:8001"}}
	groups: g: {config: "g", host: "10.0.0.4", first_port: 8000, count: 2}
}
//== fleet-limit-without-burst
fleet: {folder: "/f", instances: a: {config: "a", listen: "10.0.0.4:1"}, limits: {rate: 5}}
//== tls-half
http: {listen: "10.0.0.4:443", tls: certificate: "c"}
//== list-of-another-type
access: {ring: "/k", policies: [{prefix: "svc", formats: ["jwt"], methods: ["PUT"]}]}
