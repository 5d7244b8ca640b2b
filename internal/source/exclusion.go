package source

import (
	"maps"
	"slices"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// Excluded is the reason reported for engines that the fleet drains.
const Excluded = "drained by word of the fleet"

// Exclude drains the engines with these names, in whatever state the source lists them, until a later call omits their
// names. It is safe for concurrent use.
func (f *Feed) Exclude(names NameSet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if maps.Equal(names, f.excluded) {
		return
	}
	previous := f.excluded
	f.excluded = maps.Clone(names)
	var l endpoints.List
	for _, e := range f.known {
		if previous[e.Name] != names[e.Name] {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	if len(l.Endpoints) > 0 {
		sortByName(l.Endpoints)
		f.publish(l)
	}
}

// applyExclusions returns a list in which excluded engines that were ready are draining. The caller holds f.mu.
func (f *Feed) applyExclusions(l endpoints.List) endpoints.List {
	if len(f.excluded) == 0 {
		return l
	}
	l.Endpoints = slices.Clone(l.Endpoints)
	for i, e := range l.Endpoints {
		if f.excluded[e.Name] && e.State == admission.Ready {
			l.Endpoints[i].State, l.Endpoints[i].Reason = admission.Draining, Excluded
		}
	}
	return l
}
