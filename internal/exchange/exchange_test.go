package exchange

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFirstSettleDecidesAnswer(t *testing.T) {
	x := New(Request{Timeout: time.Second}, time.Now())
	var winners atomic.Int32
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			if x.Settle(Answer{Kind: Rejected, RetryAfter: time.Duration(i)}) {
				winners.Add(int32(i) + 1)
			}
		})
	}
	wg.Wait()
	<-x.Done()
	assert.EqualValues(t, winners.Load()-1, x.Answer().RetryAfter, "only the first Settle takes effect")
}

func TestCheckRows(t *testing.T) {
	for _, in := range []string{"", "a\tb\tc\n", "\t\t\n\t\t\n"} {
		require.NoError(t, CheckRows([]byte(in)), in)
	}
	for _, in := range []string{"a\tb\tc", "a\tb\n", "a\tb\tc\td\n", "\n", "a\tb\tc\n\n"} {
		require.Error(t, CheckRows([]byte(in)), in)
	}
}

func TestLastHolderReleasesTheExchange(t *testing.T) {
	x := New(Request{}, time.Now())
	released := 0
	x.OnRelease(func() { released++ })
	x.Hold()
	x.Release()
	assert.Zero(t, released)
	x.Release()
	assert.Equal(t, 1, released)
}
