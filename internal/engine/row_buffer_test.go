package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/membudget"
)

const rowMemory = 64 << 10

// startWithoutRowMemory starts an attempt whose result finds no memory for its rows until free is called.
func startWithoutRowMemory(t *testing.T, rows string) (sink outcomes, free func()) {
	t.Helper()
	c, sink, _, _ := newTestClient(t, 100, func(string, int) string { return responseOK("X-Batches: 1\r\n", rows) })
	memory := membudget.New(rowMemory)
	require.True(t, memory.TryReserve(rowMemory))
	c.options.Results = memory
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	return sink, func() { memory.Release(rowMemory) }
}

// A front end without memory for the rows of a result must not take its own wait for slowness of the engine, and sheds
// load for it.
func TestWaitForRowMemoryIsNotLatencyOfTheEngine(t *testing.T) {
	const wait = 400 * time.Millisecond
	rows := strings.Repeat(firstRow, 2000)
	sink, free := startWithoutRowMemory(t, rows)
	time.AfterFunc(wait, free)
	outcome := <-sink
	assert.Equal(t, admission.OK, outcome.Status)
	assert.Equal(t, rows, outcome.rows)
	assert.Less(t, outcome.Latency, wait/2)
}

// A result that is given up for lack of memory must not count as an error of the engine.
func TestLackOfRowMemoryIsNoErrorOfTheEngine(t *testing.T) {
	sink, _ := startWithoutRowMemory(t, strings.Repeat(firstRow, 2000))
	outcome := <-sink
	assert.Equal(t, admission.Errored, outcome.Status)
	assert.True(t, outcome.EngineAlive)
	assert.Less(t, outcome.Latency, resultMemoryTimeout/2)
}

// A small result must not wait for the memory that large results hold.
func TestSmallResultNeedsNoRowMemory(t *testing.T) {
	sink, _ := startWithoutRowMemory(t, bothRows)
	began := time.Now()
	outcome := <-sink
	assert.Equal(t, admission.OK, outcome.Status)
	assert.Less(t, time.Since(began), resultMemoryTimeout/2)
}
