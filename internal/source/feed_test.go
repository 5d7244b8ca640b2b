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

// scriptedSource is a Source that passes on the lists that a test sends on the channel.
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

// takenLists records the lists that a Feed passes on.
type takenLists struct {
	mu    sync.Mutex
	lists []endpoints.List
}

func (l *takenLists) take(list endpoints.List) {
	l.mu.Lock()
	l.lists = append(l.lists, list)
	l.mu.Unlock()
}

// wait waits for the nth list, counted from 0, and returns it.
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

func endpoint(name string, id uint32, s admission.State) endpoints.Endpoint {
	return endpoints.Endpoint{Engine: admission.Engine{ID: id, State: s}, Name: name, Address: "127.0.0.1:1"}
}

func readyList(complete bool, ids ...uint32) endpoints.List {
	l := endpoints.List{Complete: complete}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, endpoint(string(rune('a'+id)), id, admission.Ready))
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

// Guards against attempts that are lost when a new source lists their engine under another name or not at all.
func TestNewSourceDrainsUnnamedEngines(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got takenLists
	f := NewFeed(ctx, got.take, 20*time.Millisecond, slog.New(slog.DiscardHandler))
	f.Publish(readyList(true, 1, 2, 3))
	first, second := make(scriptedSource), make(scriptedSource)
	f.Continue(first)
	first <- readyList(false, 4)
	require.Equal(t, readyList(false, 4), got.wait(t, 1), "lists after Continue must be passed on unchanged")
	f.Follow(second)
	second <- readyList(true, 2, 7)
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

func TestEngineInLaterListOfNewSourceIsKept(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got takenLists
	f := NewFeed(ctx, got.take, 50*time.Millisecond, slog.New(slog.DiscardHandler))
	f.Publish(readyList(true, 1, 2))
	s := make(scriptedSource)
	f.Follow(s)
	s <- readyList(true, 7)
	s <- readyList(false, 1)
	assert.Equal(t, map[uint32]admission.State{2: admission.Removed}, states(got.wait(t, 3)))
	f.Stop()
}

// An excluded engine drains in whatever state the source lists it, and returns to the listed state when the exclusion
// ends.
func TestExclusionOverridesList(t *testing.T) {
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
		endpoint("a", 1, admission.Ready), endpoint("b", 2, admission.Ready),
	}})
	f.Exclude(map[string]bool{"a": true})
	assert.Equal(t, admission.Draining, state("a"))
	assert.Equal(t, admission.Ready, state("b"))
	n := len(got)
	f.Exclude(map[string]bool{"a": true})
	assert.Len(t, got, n, "repeating the same exclusions must publish no list")
	f.Publish(endpoints.List{Endpoints: []endpoints.Endpoint{
		endpoint("a", 1, admission.Ready), endpoint("b", 2, admission.Removed),
	}})
	assert.Equal(t, admission.Draining, state("a"), "an excluded engine that is listed as ready")
	assert.Equal(t, admission.Removed, state("b"))
	assert.Equal(t, admission.Ready, f.Endpoints()[0].State, "Endpoints must return the state from the source")
	f.Exclude(nil)
	assert.Equal(t, admission.Ready, state("a"))
}
