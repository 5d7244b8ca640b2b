package fleet

import (
	"maps"
	"strconv"
	"sync"

	"github.com/hashicorp/memberlist"
)

// processEvents tracks which process of each member is alive, from memberlist's events. The library's Members method
// can't be used: it returns pointers to nodes that the library keeps writing to.
type processEvents struct {
	mu           sync.Mutex
	incarnations map[string]uint64 // guarded by mu; of the process that is alive, by member
}

// alive returns the incarnation of the alive process of each member.
func (p *processEvents) alive() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.incarnations)
}

// NotifyJoin implements memberlist.EventDelegate. memberlist holds a lock of its own during the call.
func (p *processEvents) NotifyJoin(node *memberlist.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, err := strconv.ParseUint(string(node.Meta), 10, 64)
	if err != nil {
		delete(p.incarnations, node.Name)
		return
	}
	p.incarnations[node.Name] = incarnation
}

// NotifyUpdate implements memberlist.EventDelegate: another process of the member is alive.
func (p *processEvents) NotifyUpdate(node *memberlist.Node) { p.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (p *processEvents) NotifyLeave(node *memberlist.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.incarnations, node.Name)
}
