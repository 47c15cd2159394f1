title: "one router gets 10,000 datagrams a second that nobody can read, from a peer's address and a stranger's"
routers: 4
lasts:   10s
window:  1s
faults: [{at: 2s, do: "flood", who: [0], for: 6s}]
expects: {views: 0, joined_within: 2s}
