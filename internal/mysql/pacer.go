package mysql

import (
	"sync"
	"time"
)

// pacer bounds the rate at which all sessions together do work of one kind. Each user waits for its turn.
type pacer struct {
	mu   sync.Mutex
	next time.Time // guarded by mu; when the next work may begin
}

// wait waits until work may begin that takes the given time of the rate.
func (p *pacer) wait(cost time.Duration) {
	now := time.Now()
	p.mu.Lock()
	begin := p.next
	if begin.Before(now) {
		begin = now
	}
	p.next = begin.Add(cost)
	p.mu.Unlock()
	time.Sleep(begin.Sub(now))
}

// allowance is what one user may do without waiting for a pacer. It is refilled as time passes.
type allowance struct {
	left     float64
	refilled time.Time
}

// take uses one unit of an allowance that holds at most burst units and gains rate units a second. It returns false if
// none is left.
func (a *allowance) take(burst, rate float64) bool {
	now := time.Now()
	if a.refilled.IsZero() {
		a.left = burst
	} else {
		a.left = min(burst, a.left+rate*now.Sub(a.refilled).Seconds())
	}
	a.refilled = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
