package consul

import "time"

// Node is where services run.
type Node struct {
	ID, Node, Address, Datacenter string
	Meta                          map[string]string
}

// Weights are a service's weights by the state of its checks.
type Weights struct{ Passing, Warning int }

// Service is one instance.
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

// Check is one health check.
type Check struct {
	Node, CheckID, Name, Status, Output string
	ServiceID, ServiceName              string
	CreateIndex, ModifyIndex            uint64

	ttl     time.Duration
	expires time.Time
}

// Instance is one element of a health answer.
type Instance struct {
	Node    Node
	Service Service
	Checks  []Check
}
