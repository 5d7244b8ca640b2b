package source

import (
	"slices"
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// Handover is the reason of engines that the previous source has named and the new one does not.
const Handover = "not named by the new source"

// handover makes the first list of a new source a change of what is known; the lock is held. Engines that it does not
// name drain: the new authority may name them otherwise, and their attempts must not be lost for that alone.
func (f *Feed) handover(generation int, l endpoints.List) endpoints.List {
	l.Complete = false
	l.Endpoints = slices.Clone(l.Endpoints)
	named := map[uint32]bool{}
	for _, e := range l.Endpoints {
		named[e.ID] = true
	}
	var unnamed []uint32
	for id, e := range f.known {
		if !named[id] {
			e.State, e.Reason = admission.Draining, Handover
			l.Endpoints = append(l.Endpoints, e.Endpoint)
			unnamed = append(unnamed, id)
		}
	}
	f.log.Info("another source of the list", "engines", len(named), "draining", len(unnamed))
	if len(unnamed) > 0 {
		time.AfterFunc(f.drainPeriod, func() { f.removeUnnamed(generation, unnamed) })
	}
	return l
}

// removeUnnamed removes the engines that the sources of a generation and after have not named.
func (f *Feed) removeUnnamed(generation int, unnamed []uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l endpoints.List
	for _, id := range unnamed {
		if e, ok := f.known[id]; ok && e.generation < generation && f.ctx.Err() == nil {
			e.State, e.Reason = admission.Removed, Handover
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	if len(l.Endpoints) > 0 {
		f.publish(l)
	}
}
