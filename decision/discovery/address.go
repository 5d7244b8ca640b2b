package discovery

// resolveAddressConflicts decides which endpoint may be ready if several share an address: the one that was registered
// last, or none while one of them drains (invariant 9).
func resolveAddressConflicts(all []*endpoint) {
	latest := make(map[string]*endpoint, len(all)) // by address
	draining := map[string]bool{}                  // by address
	for _, e := range all {
		e.addressConflict = ""
		if e.deregistered {
			continue
		}
		if e.drain {
			draining[e.Addr] = true
		}
		if other := latest[e.Addr]; other == nil || compareRegistrations(e.Endpoint, other.Endpoint) > 0 {
			latest[e.Addr] = e
		}
	}
	for _, e := range all {
		switch {
		case e.deregistered || e.drain:
		case latest[e.Addr] != e:
			e.addressConflict = ReasonAddressReused
		case draining[e.Addr]:
			e.addressConflict = ReasonAddressDraining
		}
	}
}
