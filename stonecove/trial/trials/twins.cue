title: "two routers bear one name; both are told, and the shares keep to the rule"
routers: 4
lasts:   8s
window:  1s
twins: [1, 2]
faults: [{at: 3s, do: "restart", who: [1]}]
