package source

import (
	"slices"
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// Handover is the reason reported for engines that the previous source listed and the new source does not list.
const Handover = "not named by the new source"

// handover converts the first complete list of a new source into a change to the known endpoints. Engines that the list
// omits drain: the new authority may list them under other names, and their attempts must not be lost because of that.
// The caller holds f.mu.
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

// removeUnnamed removes those of the unnamed engines that no source of this generation or a later one has listed since.
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
