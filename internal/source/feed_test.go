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
	"beechcart/internal/roster"
)

// scripted hands on lists as a test sends them.
type scripted chan roster.List

func (s scripted) Run(ctx context.Context, take func(roster.List)) {
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
	lists []roster.List
}

func (t *taken) take(l roster.List) {
	t.mu.Lock()
	t.lists = append(t.lists, l)
	t.mu.Unlock()
}

// wait returns the nth list, counted from 0.
func (t *taken) wait(tt *testing.T, n int) roster.List {
	require.Eventually(tt, func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return len(t.lists) > n
	}, 10*time.Second, time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists[n]
}

func named(complete bool, ids ...uint32) roster.List {
	l := roster.List{Complete: complete}
	for _, id := range ids {
		l.Engines = append(l.Engines, roster.Engine{Engine: admission.Engine{ID: id}, Name: string(rune('a' + id)), Addr: "127.0.0.1:1"})
	}
	return l
}

func states(l roster.List) map[uint32]admission.State {
	m := map[uint32]admission.State{}
	for _, e := range l.Engines {
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
	f.Take(named(true, 1, 2, 3))
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
	assert.Len(t, f.Beliefs(), 5)
	assert.Equal(t, map[uint32]admission.State{1: admission.Removed, 3: admission.Removed, 4: admission.Removed}, states(got.wait(t, 3)))
	assert.Len(t, f.Beliefs(), 2)
	f.Stop()
}

func TestAnEngineThatTheNewSourceNamesLaterStays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got taken
	f := NewFeed(ctx, got.take, 50*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Take(named(true, 1, 2))
	s := make(scripted)
	f.Follow(s, false)
	s <- named(true, 7)
	s <- named(false, 1)
	assert.Equal(t, map[uint32]admission.State{2: admission.Removed}, states(got.wait(t, 3)))
	f.Stop()
}
