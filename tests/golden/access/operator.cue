// Policies of the golden data: one for each thing that a policy can ask.
access: {
	ring:    "key_ring.json"
	fastcgi: true
	policies: [
		{prefix: "/svc", longest: 1h},
		{prefix: "/svc/open", token: false},
		{prefix: "/svc/once", once: true},
		{prefix: "/svc/grace", grace: 30s, skew: 0ms},
		{prefix: "/svc/rate", rate: 2, burst: 2},
		{prefix: "/svc/open-requests", concurrent: 1},
		{prefix: "/svc/depot", depot: true},
		{prefix: "/svc/issued", audience: "edge", issuer: "depot-office", methods: ["GET", "POST"]},
		{prefix: "/svc/cloudfront", formats: ["cloudfront"]},
		{prefix: "/svc/edge", edge_name: "tok", edge_key: "edge-sha256"},
		{prefix: "/svc/valued", floor: true},
		{prefix: "/other"},
	]
}
