package consul

import "time"

// Node is a machine that services run on.
type Node struct {
	ID, Node, Address, Datacenter string
	Meta                          map[string]string
}

// Weights are the weights of a service by the state of its checks.
type Weights struct{ Passing, Warning int }

// Service is one registered instance of a service.
type Service struct {
	ID, Service string
	Tags        []string
	Address     string
	Port        int
	Meta        map[string]string
	Weights     Weights
	CreateIndex uint64
	ModifyIndex uint64
}

// The states of checks.
const (
	passing  = "passing"
	warning  = "warning"
	critical = "critical"
)

// Check is one health check of a service instance, or of a node if ServiceID is empty.
type Check struct {
	Node, CheckID, Name, Status, Output string
	ServiceID, ServiceName              string
	CreateIndex, ModifyIndex            uint64

	ttl     time.Duration // 0: not a TTL check
	expires time.Time
}

// Instance is one element of a health response.
type Instance struct {
	Node    Node
	Service Service
	Checks  []Check
}
