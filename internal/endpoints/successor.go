package endpoints

import "beechcart/admission"

// addressOwners records which engine has each address. A process listens at one address, so an engine that is listed
// as ready at the address of another one has replaced it: the process of the other engine has gone, also if the change
// log has not reported that yet.
type addressOwners struct {
	byAddress map[string]Endpoint
	// replaced holds the engines that have lost their address and have not been reported as gone. A late event, such as
	// a new weight, must not give an address back to them.
	replaced map[uint32]bool
}

func newAddressOwners() addressOwners {
	return addressOwners{byAddress: map[string]Endpoint{}, replaced: map[uint32]bool{}}
}

// apply records the entries of a list, and returns the list with the engines removed that have been replaced.
func (o *addressOwners) apply(list List) List {
	if list.Complete {
		*o = newAddressOwners()
	}
	entries := make([]Endpoint, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		owner, owned := o.byAddress[e.Address]
		switch {
		case e.State == admission.Removed:
			o.remove(e.ID)
		case e.State != admission.Ready || e.Address == "":
			// An engine that drains, or whose address stays as it was, claims no address.
		case owned && owner.ID != e.ID && (o.replaced[e.ID] || e.Started < owner.Started):
			o.replaced[e.ID] = true
			e = replacedBy(e, owner)
		default:
			if owned && owner.ID != e.ID {
				o.replaced[owner.ID] = true
				entries = append(entries, replacedBy(owner, e))
			}
			o.byAddress[e.Address] = e
			delete(o.replaced, e.ID)
		}
		entries = append(entries, e)
	}
	list.Endpoints = entries
	return list
}

// remove forgets an engine that has gone.
func (o *addressOwners) remove(id uint32) {
	delete(o.replaced, id)
	for address, owner := range o.byAddress {
		if owner.ID == id {
			delete(o.byAddress, address)
		}
	}
}

// replacedBy returns the entry that removes an engine whose address another engine has.
func replacedBy(e, successor Endpoint) Endpoint {
	e.State, e.Reason = admission.Removed, "replaced by "+successor.Name
	return e
}
