package exchange

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/membudget"
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

func TestLastHolderReleasesTheMemory(t *testing.T) {
	x := New(Request{}, time.Now())
	request, result := membudget.New(100), membudget.New(100)
	require.True(t, request.TryReserve(10))
	require.True(t, result.TryReserve(20))
	x.HoldRequest(request, 10)
	x.HoldResult(result, 20)
	x.Hold()
	x.Release()
	assert.Equal(t, []int{10, 20}, []int{request.Used(), result.Used()})
	x.Release()
	assert.Equal(t, []int{0, 0}, []int{request.Used(), result.Used()})
}
