package fleet

import (
	"strconv"
	"sync"

	"github.com/hashicorp/memberlist"
)

// processEvents follows which process of each member is alive, by memberlist's events. Guards against what its Members method returns: pointers
// to nodes that it goes on writing, so that to read a node's metadata there is a data race.
type processEvents struct {
	mu           sync.Mutex
	incarnations map[string]uint64
}

// NotifyJoin implements memberlist.EventDelegate. The library holds its lock meanwhile.
func (a *processEvents) NotifyJoin(node *memberlist.Node) {
	a.mu.Lock()
	defer a.mu.Unlock()
	incarnation, err := strconv.ParseUint(string(node.Meta), 10, 64)
	if err != nil {
		delete(a.incarnations, node.Name)
		return
	}
	a.incarnations[node.Name] = incarnation
}

// NotifyUpdate implements memberlist.EventDelegate: another process of the member is alive.
func (a *processEvents) NotifyUpdate(node *memberlist.Node) { a.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (a *processEvents) NotifyLeave(node *memberlist.Node) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.incarnations, node.Name)
}
