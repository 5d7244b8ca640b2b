package engine

import (
	"sync"
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// instance is one process of one engine, from its start to its end.
type instance struct {
	client  *Client
	id      uint32
	address string
	started time.Duration // Unix time; 0: not known

	mu         sync.Mutex
	ready      bool      // guarded by mu; it gets queries
	retired    bool      // guarded by mu; the process has ended
	answeredAt time.Time // guarded by mu; its last answer
}

// replacedBy reports whether an entry of the endpoint list names another process.
func (i *instance) replacedBy(e endpoints.Endpoint) bool {
	return (e.Address != "" && i.address != e.Address) || (e.Started > 0 && i.started != e.Started)
}

// setState applies the engine's state of the endpoint list.
func (i *instance) setState(state admission.State) {
	ready := state == admission.Ready
	i.mu.Lock()
	i.ready = ready && !i.retired
	i.mu.Unlock()
	if !ready {
		i.client.idlePool.drop(i)
	}
}

// retire records that the process has ended.
func (i *instance) retire() {
	i.mu.Lock()
	i.ready, i.retired = false, true
	i.mu.Unlock()
	i.client.idlePool.forget(i)
}

// recordAnswer records that the engine has just answered. Only the idle pool uses it.
func (i *instance) recordAnswer() {
	if i.client.idlePool == nil {
		return
	}
	i.mu.Lock()
	i.answeredAt = time.Now()
	i.mu.Unlock()
}

// sinceAnswer is how long ago the engine answered last.
func (i *instance) sinceAnswer() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.answeredAt)
}

func (i *instance) isReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready
}

func (i *instance) isRetired() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.retired
}

// acquire returns a connection for a query or a health check: an idle one, or a new one. needsConfirmation reports
// that an answer on it counts only once it has been confirmed.
func (i *instance) acquire(nonIdempotent bool, use socketUse) (conn *connection, needsConfirmation bool, err error) {
	if conn, needsConfirmation = i.client.idlePool.take(i, nonIdempotent); conn != nil {
		return conn, needsConfirmation, nil
	}
	conn, err = i.client.dial(i.address, use)
	return conn, false, err
}
