// Package poll schedules the requests that read a service catalogue with blocking queries: when the next request is
// sent, to which address, with which index, wait and timeouts.
//
// The caller reports the result of each request to a [Poller] and gets the next request from it. A Poller does no I/O,
// keeps no clock and starts no goroutine; the caller passes in the time and a source of random numbers. A Poller is not
// safe for concurrent use.
//
// # Invariants
//
//  1. At most one request is in flight: Next returns the same request until HandleResult, RetryNow or Reset is called.
//  2. An index that is 0 or that goes backwards is never sent: the next request has no index.
//  3. Each round of failures at all addresses doubles the backoff, up to MaxBackoff. The backoff is drawn from the
//     upper half of its range, so that front ends that failed together do not retry together.
//  4. After a denied request (403), no address is asked for DeniedBackoff. Only RetryNow and Reset end that backoff
//     early.
//  5. Requests after a success start at least MinInterval later, and late enough for reading to take at most
//     MaxBusyShare of the time.
//  6. After a failure, every other address is tried before any backoff. After a success, the same address is used
//     again.
//  7. The requested wait lies within 10 % of Wait (while a list awaits confirmation: of ConfirmInterval, if that is
//     shorter), so that the requests of front ends that started together spread out.
//  8. If a request times out in a round of failures at all addresses, the timeouts double for the next round, up to
//     MaxResponseTimeout. They return to ResponseTimeout only as responses become faster. A list that the catalogue
//     needs longer than ResponseTimeout to produce can therefore be read.
//
// # Trade-offs
//
// Only one address is polled at a time. A catalogue that stops responding is detected after Wait and ResponseTimeout.
// Polling two addresses at once would halve that time, but would double the load on the catalogue permanently.
//
// Source: Consul's blocking queries (developer.hashicorp.com/consul/api-docs/features/blocking). Clients must reset the
// index when it goes backwards, must not use an index of 0, and should limit their request rate.
package poll
