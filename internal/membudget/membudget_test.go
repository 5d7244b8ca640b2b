package membudget

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReservationsStayWithinTheLimit(t *testing.T) {
	const users, rounds, size, limit = 8, 2000, 30, 100
	b := New(limit)
	var running sync.WaitGroup
	var refused atomic.Int64
	for range users {
		running.Go(func() {
			for range rounds {
				if !b.TryReserve(size) {
					refused.Add(1)
					continue
				}
				assert.LessOrEqual(t, b.Used(), limit)
				b.Release(size)
			}
		})
	}
	running.Wait()
	assert.Zero(t, b.Used())
	assert.True(t, b.TryReserve(limit))
	assert.False(t, b.TryReserve(1))
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	assert.True(t, b.TryReserve(1<<40))
	b.Release(1 << 40)
	assert.Zero(t, b.Used()+b.Limit())
}
