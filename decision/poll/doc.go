// Package poll decides when, where and how a service catalogue is read next: blocking queries by index, several
// addresses, retries with backoff, and how much of the time may be spent on reading.
//
// A [Poller] is told the result of each request and answers with the next one. It does no I/O, keeps no clock and
// starts no goroutine; time and randomness are passed in. It is not safe for concurrent use.
//
// # Invariants
//
//  1. One request is in flight at a time: Next returns the same request until HandleResult, RetryNow or Reset.
//  2. An index that is 0 or goes backwards is never sent again: the next request has none.
//  3. After failures at every address in turn, the backoff doubles up to MaxBackoff, and is drawn from its upper half,
//     so that front ends that failed together don't retry together.
//  4. After a request that is denied (403), every address has DeniedBackoff, ended early only by RetryNow.
//  5. Requests that succeed are MinInterval apart at least, and so far apart that reading takes at most MaxBusyShare of
//     the time.
//  6. Each address is tried before any backoff; after a success the same one is used again.
//  7. The wait requested lies within a tenth of Wait (of ConfirmInterval while a list awaits confirmation), so that
//     front ends that started together spread out.
//  8. If requests timed out at every address in turn, the timeouts double for the next round, up to MaxResponseTimeout,
//     and return to ResponseTimeout only as responses come quicker: a list that takes longer than ResponseTimeout to
//     make is read all the same.
//
// # What it gives up
//
// Only one address is polled at a time. A catalogue that hangs is noticed when Wait and ResponseTimeout have passed;
// polling two at once would halve that, at twice the load on the catalogue of every installation, every day.
//
// Source: Consul's blocking queries (developer.hashicorp.com/consul/api-docs/features/blocking), which tell clients to
// reset the index when it goes backwards, to never use 0 as one that has been seen, and to limit their rate.
package poll
