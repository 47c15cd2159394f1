// Three signatures of HMAC a second, and one more for the most valued class.
access: {
	ring: "key_ring.json"
	checks: 0.2
	policies: [
		{prefix: "/svc"},
		{prefix: "/svc/valued", floor: true},
	]
}
