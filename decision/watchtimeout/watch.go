// Package watchtimeout decides how long each step of following a change log may last, so that a drain is heard within the
// settings' grace although the connection that should bring it has gone silent.
//
// A [Watch] is told how long dials and answers took, or that they did not come, and answers with the next bounds. It does
// no I/O, keeps no clock and starts no goroutine. It is not safe for concurrent use.
//
// # Invariants
//
//  1. Wait, twice Slack and Dial sum up to no more than the grace (Bound): a poll that falls silent right after it was sent is
//     found out after Wait and Slack, and the next one brings what the log has held meanwhile within Dial and Slack.
//  2. A log that answers more slowly than Slack allows, or that comes up more slowly than Dial, is followed all the same: one try in
//     eight has the whole time, and what it took is allowed, twice, from then on.
//  3. Each bound is at least so long that a machine under load keeps to it (leastWait, leastSlack), so a grace under 150 ms
//     can't be kept with a watch that falls silent; Bound tells it.
//
// # What it gives up
//
// While nothing comes up, the one try in eight that has the whole time may last longer than the grace. The log is asked
// every Wait, five times a second at a grace of 500 ms. Two polls side by side would not do with fewer: all open watches may
// fall silent at once, and then each has to be found out in the same time.
package watchtimeout

import "time"

// The parts of the grace, in hundredths, that the steps may take; 85 in all with the second answer.
const (
	waitPart  = 40
	slackPart = 15
	dialPart  = 15
	pausePart = 10
)

// The bounds of the steps, whatever the grace.
const (
	leastWait, mostWait   = 20 * time.Millisecond, time.Second
	leastSlack, mostSlack = 30 * time.Millisecond, 500 * time.Millisecond
	leastPause, mostPause = 10 * time.Millisecond, 100 * time.Millisecond
	noGrace               = time.Second // where the settings name no grace
	wholeEvery            = 8           // one try in so many has the whole time
)

// Watch holds the bounds for one change log.
type Watch struct {
	wait, pause time.Duration
	slack, dial patience
}

// patience is how long something is waited for.
type patience struct {
	usual, whole time.Duration
	seen         time.Duration // what it took lately, fading
	fails        int           // in a row
}

// New returns the bounds for a grace; connect is how long a connection may take to come up.
func New(grace, connect time.Duration) *Watch {
	if grace <= 0 {
		grace = noGrace
	}
	part := func(n int, least, most time.Duration) time.Duration {
		return min(max(grace*time.Duration(n)/100, least), most)
	}
	slack := part(slackPart, leastSlack, mostSlack)
	return &Watch{
		wait: part(waitPart, leastWait, mostWait), pause: part(pausePart, leastPause, mostPause),
		slack: patience{usual: slack, whole: mostSlack},
		dial:  patience{usual: min(part(dialPart, leastSlack, mostSlack), connect), whole: connect},
	}
}

// Wait is how long the log may hold a poll for which it has nothing to tell.
func (w *Watch) Wait() time.Duration { return w.wait }

// Pause is how long after a failure that took no time the log is asked again.
func (w *Watch) Pause() time.Duration { return w.pause }

// Slack is how much later than Wait the answer may come.
func (w *Watch) Slack() time.Duration { return w.slack.next() }

// Dial is how long the connection may take to come up.
func (w *Watch) Dial() time.Duration { return w.dial.next() }

// Bound is the greatest age of news where one watch falls silent and the next is answered.
func (w *Watch) Bound() time.Duration { return w.wait + 2*w.slack.usual + w.dial.usual }

// Answered tells that an answer came so long after its poll was sent. What came before the wait was over tells nothing.
func (w *Watch) Answered(took time.Duration) { w.slack.came(max(0, took-w.wait)) }

// Silent tells that an answer did not come in its time.
func (w *Watch) Silent() { w.slack.fails++ }

// Reached tells that a connection came up.
func (w *Watch) Reached(took time.Duration) { w.dial.came(took) }

// Unreached tells that a connection did not come up in its time.
func (w *Watch) Unreached() { w.dial.fails++ }

func (p *patience) next() time.Duration {
	if p.fails%wholeEvery == wholeEvery-1 {
		return p.whole
	}
	return min(max(p.usual, 2*p.seen), max(p.usual, p.whole))
}

func (p *patience) came(took time.Duration) {
	p.fails = 0
	p.seen = max(took, p.seen-p.seen/8)
}
