package source

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// scripted hands on lists as a test sends them.
type scripted chan endpoints.List

func (s scripted) Run(ctx context.Context, take func(endpoints.List)) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-s:
			take(l)
		}
	}
}

type taken struct {
	mu    sync.Mutex
	lists []endpoints.List
}

func (t *taken) take(l endpoints.List) {
	t.mu.Lock()
	t.lists = append(t.lists, l)
	t.mu.Unlock()
}

// wait returns the nth list, counted from 0.
func (t *taken) wait(tt *testing.T, n int) endpoints.List {
	require.Eventually(tt, func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return len(t.lists) > n
	}, 10*time.Second, time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists[n]
}

func named(complete bool, ids ...uint32) endpoints.List {
	l := endpoints.List{Complete: complete}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Engine: admission.Engine{ID: id}, Name: string(rune('a' + id)), Address: "127.0.0.1:1"})
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

// Guards against attempts that lose their engine as another source names it otherwise, or does not name it.
func TestAnotherSourceDrainsWhatItDoesNotName(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got taken
	f := NewFeed(ctx, got.take, 20*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Publish(named(true, 1, 2, 3))
	one, two := make(scripted), make(scripted)
	f.Follow(one, true)
	one <- named(false, 4)
	require.Equal(t, named(false, 4), got.wait(t, 1), "a source that continues hands on what it tells")
	f.Follow(two, false)
	two <- named(true, 2, 7)
	l := got.wait(t, 2)
	assert.False(t, l.Complete)
	assert.Equal(t, map[uint32]admission.State{2: admission.Ready, 7: admission.Ready, 1: admission.Draining, 3: admission.Draining,
		4: admission.Draining}, states(l))
	assert.Len(t, f.Statuses(), 5)
	assert.Equal(t, map[uint32]admission.State{1: admission.Removed, 3: admission.Removed, 4: admission.Removed}, states(got.wait(t, 3)))
	assert.Len(t, f.Statuses(), 2)
	f.Stop()
}

func TestAnEngineThatTheNewSourceNamesLaterStays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got taken
	f := NewFeed(ctx, got.take, 50*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Publish(named(true, 1, 2))
	s := make(scripted)
	f.Follow(s, false)
	s <- named(true, 7)
	s <- named(false, 1)
	assert.Equal(t, map[uint32]admission.State{2: admission.Removed}, states(got.wait(t, 3)))
	f.Stop()
}

// An engine that the fleet drains gets nothing more, whatever its list says meanwhile, and is as the list says after it.
func TestVetoOutlivesTheList(t *testing.T) {
	var got []endpoints.List
	f := NewFeed(context.Background(), func(l endpoints.List) { got = append(got, l) }, time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
	entry := func(name string, id uint32, s admission.State) endpoints.Endpoint {
		return endpoints.Endpoint{Engine: admission.Engine{ID: id, State: s}, Name: name, Address: "127.0.0.1:1"}
	}
	f.Publish(endpoints.List{Complete: true, Endpoints: []endpoints.Endpoint{entry("a", 1, admission.Ready), entry("b", 2, admission.Ready)}})
	f.Exclude(map[string]bool{"a": true})
	assert.Equal(t, admission.Draining, state("a"))
	assert.Equal(t, admission.Ready, state("b"))
	n := len(got)
	f.Exclude(map[string]bool{"a": true})
	assert.Len(t, got, n, "nothing new, nothing told")
	f.Publish(endpoints.List{Endpoints: []endpoints.Endpoint{entry("a", 1, admission.Ready), entry("b", 2, admission.Removed)}})
	assert.Equal(t, admission.Draining, state("a"), "a list that calls it ready")
	assert.Equal(t, admission.Removed, state("b"))
	assert.Equal(t, admission.Ready, f.Endpoints()[0].State, "what its source says is remembered")
	f.Exclude(nil)
	assert.Equal(t, admission.Ready, state("a"))
}
