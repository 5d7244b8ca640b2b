package source

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// scriptedSource passes on the lists that a test sends.
type scriptedSource chan endpoints.List

func (s scriptedSource) Run(ctx context.Context, take func(endpoints.List)) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-s:
			take(l)
		}
	}
}

// takenLists keeps the lists that a feed passes on.
type takenLists struct {
	mu    sync.Mutex
	lists []endpoints.List
}

func (l *takenLists) take(list endpoints.List) {
	l.mu.Lock()
	l.lists = append(l.lists, list)
	l.mu.Unlock()
}

// wait returns the nth list, counted from 0.
func (l *takenLists) wait(t *testing.T, n int) endpoints.List {
	t.Helper()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.lists) > n
	}, 10*time.Second, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists[n]
}

func entry(name string, id uint32, s admission.State) endpoints.Endpoint {
	return endpoints.Endpoint{Engine: admission.Engine{ID: id, State: s}, Name: name, Address: "127.0.0.1:1"}
}

func named(complete bool, ids ...uint32) endpoints.List {
	l := endpoints.List{Complete: complete}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, entry(string(rune('a'+id)), id, admission.Ready))
	}
	return l
}

func states(l endpoints.List) map[uint32]admission.State {
	m := map[uint32]admission.State{}
	for _, e := range l.Endpoints {
		m[e.ID] = e.State
	}
	return m
}

// Attempts must not lose their engine because another source names it otherwise, or does not name it.
func TestNewSourceDrainsUnnamedEngines(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got takenLists
	f := NewFeed(ctx, got.take, 20*time.Millisecond, slog.New(slog.DiscardHandler))
	f.Publish(named(true, 1, 2, 3))
	one, two := make(scriptedSource), make(scriptedSource)
	f.Continue(one)
	one <- named(false, 4)
	require.Equal(t, named(false, 4), got.wait(t, 1), "a source that continues passes on its lists")
	f.Follow(two)
	two <- named(true, 2, 7)
	l := got.wait(t, 2)
	assert.False(t, l.Complete)
	assert.Equal(t, map[uint32]admission.State{
		2: admission.Ready, 7: admission.Ready, 1: admission.Draining, 3: admission.Draining,
		4: admission.Draining}, states(l))
	assert.Len(t, f.Statuses(), 5)
	removed := map[uint32]admission.State{1: admission.Removed, 3: admission.Removed, 4: admission.Removed}
	assert.Equal(t, removed, states(got.wait(t, 3)))
	assert.Len(t, f.Statuses(), 2)
	f.Stop()
}

func TestEngineThatTheNewSourceNamesLaterStays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got takenLists
	f := NewFeed(ctx, got.take, 50*time.Millisecond, slog.New(slog.DiscardHandler))
	f.Publish(named(true, 1, 2))
	s := make(scriptedSource)
	f.Follow(s)
	s <- named(true, 7)
	s <- named(false, 1)
	assert.Equal(t, map[uint32]admission.State{2: admission.Removed}, states(got.wait(t, 3)))
	f.Stop()
}

// An excluded engine drains whatever its list says, and is in the state of its list once it is no longer excluded.
func TestExclusionOutlivesTheList(t *testing.T) {
	var got []endpoints.List
	take := func(l endpoints.List) { got = append(got, l) }
	f := NewFeed(context.Background(), take, time.Second, slog.New(slog.DiscardHandler))
	state := func(name string) admission.State {
		for i := len(got) - 1; i >= 0; i-- {
			for _, e := range got[i].Endpoints {
				if e.Name == name {
					return e.State
				}
			}
		}
		return -1
	}
	f.Publish(endpoints.List{Complete: true, Endpoints: []endpoints.Endpoint{
		entry("a", 1, admission.Ready), entry("b", 2, admission.Ready),
	}})
	f.Exclude(map[string]bool{"a": true})
	assert.Equal(t, admission.Draining, state("a"))
	assert.Equal(t, admission.Ready, state("b"))
	n := len(got)
	f.Exclude(map[string]bool{"a": true})
	assert.Len(t, got, n, "the same exclusions change nothing")
	f.Publish(endpoints.List{Endpoints: []endpoints.Endpoint{
		entry("a", 1, admission.Ready), entry("b", 2, admission.Removed),
	}})
	assert.Equal(t, admission.Draining, state("a"), "a list in which it is ready")
	assert.Equal(t, admission.Removed, state("b"))
	assert.Equal(t, admission.Ready, f.Endpoints()[0].State, "the state of its source is kept")
	f.Exclude(nil)
	assert.Equal(t, admission.Ready, state("a"))
}
