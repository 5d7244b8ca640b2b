package engine

import (
	"sync"
	"time"

	"beechcart/decision/reuse"
)

// checkInterval is how often idle connections are checked for input. netpoll reads all that an engine sends into
// memory, whether anyone waits for it or not.
const checkInterval = 25 * time.Millisecond

// Idle connections are checked for expiry at least so often in reuse.Policy's MaxIdleTime.
const expiryChecksPerIdleTime = 4

// idlePool keeps the connections that have ended a query or a health check, and lets them carry another one where
// decision/reuse allows it. All its methods are safe for concurrent use, and on a nil pool, which keeps nothing.
type idlePool struct {
	count func(counter string)
	start time.Time

	mu             sync.Mutex
	policy         *reuse.Policy             // guarded by mu
	byInstance     map[*instance][]*idleConn // guarded by mu; the latest connection is the last
	checkScheduled bool                      // guarded by mu
	checkedAt      time.Time                 // guarded by mu; when all connections were last checked for expiry
}

// idleConn is a connection that carries no call.
type idleConn struct {
	conn            *connection
	since           time.Time
	silenceReported bool // the policy has been told that it brought nothing in the quiet period
}

// newIdlePool returns a pool; nil where policy is nil.
func newIdlePool(policy *reuse.Policy, count func(counter string)) *idlePool {
	if policy == nil {
		return nil
	}
	return &idlePool{count: count, start: time.Now(), policy: policy, byInstance: map[*instance][]*idleConn{}}
}

func (p *idlePool) now() time.Duration { return time.Since(p.start) }

// put takes a connection that has ended its query or health check, and closes it where it may not carry another one.
// Input that follows an answer is looked for here, after the quiet period, and when the connection is taken again.
func (p *idlePool) put(owner *instance, conn *connection) {
	if p == nil {
		conn.close()
		return
	}
	reusable := conn.reusable()
	conn.queries++
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable && conn.hasSurplus() {
		p.distrust(owner)
	}
	state := reuse.Conn{Queries: conn.queries, Clean: reusable, Closing: conn.lastResponse}
	if !owner.isReady() || !p.policy.Keep(owner.id, state) {
		conn.close()
		return
	}
	p.byInstance[owner] = append(p.byInstance[owner], &idleConn{conn: conn, since: time.Now()})
	p.scheduleCheck()
}

// take returns a connection for a query; nil where there is none. needsConfirmation reports that an answer on it
// counts only once it has been confirmed.
func (p *idlePool) take(owner *instance, nonIdempotent bool) (conn *connection, needsConfirmation bool) {
	if p == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byInstance[owner]
	for i := len(list) - 1; i >= 0; i-- {
		switch p.decide(owner, list[i], nonIdempotent) {
		case reuse.Use:
			p.count("conn_reused")
			return p.remove(owner, i), false
		case reuse.UseAndConfirm:
			p.count("conn_proving")
			return p.remove(owner, i), true
		case reuse.Close:
			p.remove(owner, i).close()
		default: // it stays idle
		}
	}
	return nil, false
}

// decide tells the policy what an idle connection has brought, and asks what it may do; the lock is held.
func (p *idlePool) decide(owner *instance, idle *idleConn, nonIdempotent bool) reuse.Decision {
	idleTime := time.Since(idle.since)
	reusable := idle.conn.reusable()
	if !reusable && idle.conn.hasSurplus() {
		p.distrust(owner)
	} else if reusable && !idle.silenceReported && idleTime >= p.policy.QuietPeriod() {
		idle.silenceReported = true
		p.policy.StayedQuiet(owner.id)
	}
	state := reuse.Conn{
		Queries: idle.conn.queries, IdleTime: idleTime, EngineSilence: owner.sinceAnswer(), Clean: reusable,
	}
	return p.policy.Decide(owner.id, state, nonIdempotent, p.now())
}

// remove removes the connection at that place; those before it keep their places. The lock is held.
func (p *idlePool) remove(owner *instance, at int) *connection {
	list := p.byInstance[owner]
	conn := list[at].conn
	list = append(list[:at], list[at+1:]...)
	if p.byInstance[owner] = list; len(list) == 0 {
		delete(p.byInstance, owner)
	}
	p.policy.Released(owner.id)
	return conn
}

// reportMalformed reports that an engine has sent a malformed answer.
func (p *idlePool) reportMalformed(owner *instance) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrust(owner)
}

// distrust tells the policy that an engine has sent a malformed answer, or more than belonged to its answer; the lock
// is held.
func (p *idlePool) distrust(owner *instance) {
	p.policy.Malformed(owner.id, p.now())
	p.count("reuse_distrust")
}

// drop closes the connections to an instance that gets no more queries, so that others can use their sockets.
func (p *idlePool) drop(owner *instance) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(owner)
}

// forget closes the connections to an instance that has ended, and forgets what is known of it: a connection of the
// old process must not carry a query to the new one.
func (p *idlePool) forget(owner *instance) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(owner)
	p.policy.RemoveEngine(owner.id)
}

// closeAll closes all connections to an instance; the lock is held.
func (p *idlePool) closeAll(owner *instance) {
	for n := len(p.byInstance[owner]); n > 0; n-- {
		p.remove(owner, n-1).close()
	}
}

// evict closes the connection that has been idle for longest; false where there is none.
func (p *idlePool) evict() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *instance
	for owner, list := range p.byInstance {
		if oldest == nil || list[0].since.Before(p.byInstance[oldest][0].since) {
			oldest = owner
		}
	}
	if oldest == nil {
		return false
	}
	p.remove(oldest, 0).close()
	return true
}

// scheduleCheck schedules closeExpired where that has not been done; the lock is held.
func (p *idlePool) scheduleCheck() {
	if !p.checkScheduled {
		p.checkScheduled = true
		time.AfterFunc(min(checkInterval, p.policy.MaxIdleTime()/expiryChecksPerIdleTime), p.closeExpired)
	}
}

// closeExpired closes the connections that have brought input and, from time to time, all that may no longer carry a
// query. It runs on a timer's goroutine, and schedules itself again while the pool is not empty.
func (p *idlePool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkScheduled = false
	checkAll := time.Since(p.checkedAt) >= p.policy.MaxIdleTime()/expiryChecksPerIdleTime
	if checkAll {
		p.checkedAt = time.Now()
	}
	for owner, list := range p.byInstance {
		for i := len(list) - 1; i >= 0; i-- {
			if (checkAll || !list[i].conn.reusable()) && p.decide(owner, list[i], false) == reuse.Close {
				p.remove(owner, i).close()
			}
		}
	}
	if len(p.byInstance) > 0 {
		p.scheduleCheck()
	}
}
