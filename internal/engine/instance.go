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

	mu             sync.Mutex
	ready          bool      // guarded by mu; the instance may get queries
	retired        bool      // guarded by mu; the process has ended or left the endpoint list
	lastResponseAt time.Time // guarded by mu; the time of the last response
}

// replacedBy reports whether an entry of the endpoint list stands for another process than i. Fields that the entry
// leaves empty are not compared.
func (i *instance) replacedBy(e endpoints.Endpoint) bool {
	return (e.Address != "" && i.address != e.Address) || (e.Started > 0 && i.started != e.Started)
}

// setState applies the state that the endpoint list gives the engine. Idle connections are closed if the engine is not
// ready.
func (i *instance) setState(state admission.State) {
	ready := state == admission.Ready
	i.mu.Lock()
	i.ready = ready && !i.retired
	i.mu.Unlock()
	if !ready {
		i.client.idlePool.drop(i)
	}
}

// retire records that the process has ended, and closes the idle connections to the process.
func (i *instance) retire() {
	i.mu.Lock()
	i.ready, i.retired = false, true
	i.mu.Unlock()
	i.client.idlePool.forget(i)
}

// recordResponse records the time of a response. Only the idle pool uses this time.
func (i *instance) recordResponse() {
	if i.client.idlePool == nil {
		return
	}
	i.mu.Lock()
	i.lastResponseAt = time.Now()
	i.mu.Unlock()
}

// sinceLastResponse returns the time since the last response of the engine.
func (i *instance) sinceLastResponse() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.lastResponseAt)
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

// acquire returns an idle or a new connection for a query or a health check. needsConfirmation reports that a response
// on the connection counts only once it has been confirmed.
func (i *instance) acquire(nonIdempotent bool, use socketUse) (conn *connection, needsConfirmation bool, err error) {
	if conn, needsConfirmation = i.client.idlePool.take(i, nonIdempotent); conn != nil {
		return conn, needsConfirmation, nil
	}
	conn, err = i.client.dial(i.address, use)
	return conn, false, err
}
