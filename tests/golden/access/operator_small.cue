// Room for four single-use tokens, of which a part is kept for the most valued class.
access: {
	ring: "key_ring.json"
	seen: 4
	policies: [
		{prefix: "/svc"},
		{prefix: "/svc/valued", floor: true},
	]
}
