// Package admission decides, for one gateway, which query goes to which engine of a pool, and when.
//
// A Controller is told what happened as events and answers with actions. It does no I/O, keeps no clock
// and starts no goroutine: the caller passes the time and carries the actions out in the order given.
//
// The ordinary path: a request joins its tenant's queue; tenants leave their queues by weighted deficit
// round robin, oldest first; an admission is checked against the tenant's running and memory caps; the
// engine is drawn at random among those with room, weighted against reported load plus own sends since.
// The departures from that path are named in docs/design.md under the names used here.
package admission
