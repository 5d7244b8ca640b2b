package scale

import (
	"context"
	"slices"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// noticeInterval is the interval at which the leader's status is polled for suspicions.
const noticeInterval = 75 * time.Millisecond

// noticeFaults lists the faults that --notice adds. noticeQuantities holds the faults whose detection time is measured,
// and for each the word that names the fault in the quantity notice_WORD_max_seconds.
var (
	noticeFaults     = []string{"dead", "stop"}
	noticeQuantities = map[string]string{"dead": "dead", "stop": "stopped", "one-way": "one_way"}
)

// WithNotice returns a copy of faults that also holds the faults that measure the detection time of a dead and of a
// stopped member.
func WithNotice(faults []string) []string {
	faults = slices.Clone(faults)
	for _, name := range noticeFaults {
		if !slices.Contains(faults, name) {
			faults = append(faults, name)
		}
	}
	return faults
}

// Notice is the detection time of a fault: the time from just before the start of the fault until the control log
// suspects the members that the fault affects. A time ends when the leader's answer arrives, so the time is too long by
// at most one request and one polling interval.
type Notice struct {
	Members      int     `json:"members"`       // number of members that were watched
	Suspected    int     `json:"suspected"`     // number of those that were suspected within the bound
	BoundSeconds float64 `json:"bound_seconds"` // how long the watch lasts at most
	// time until the last member was suspected; null: not all members were suspected within the bound
	MaxSeconds *float64 `json:"max_seconds"`
}

// suspicionWatch records when the leader's state first counts each of a set of members as suspected.
type suspicionWatch struct {
	members     []string
	began       time.Time
	bound       time.Duration
	suspectedAt map[string]time.Duration // by member: time from began to the first answer that reports the suspicion
	done        chan struct{}            // closed once all are suspected, the bound has passed or the context has ended
}

func newSuspicionWatch(members []string, began time.Time, bound time.Duration) *suspicionWatch {
	return &suspicionWatch{members: members, began: began, bound: bound, suspectedAt: map[string]time.Duration{},
		done: make(chan struct{})}
}

// watchSuspicion waits until the leader's state holds all members and suspects none of them, and then watches them in
// the background. The caller starts the fault when watchSuspicion returns. If a member is still missing or suspected
// after Options.NoticeWithin, watchSuspicion logs that and returns nil.
func (r *run) watchSuspicion(ctx context.Context, members []string, bound time.Duration) *suspicionWatch {
	if !r.awaitUnsuspected(ctx, members) {
		r.logf("time to notice not measured: the log has not had all %d members unsuspected within %v", len(members),
			r.options.NoticeWithin)
		return nil
	}
	w := newSuspicionWatch(members, time.Now(), min(bound, r.options.NoticeWithin))
	go w.follow(ctx, r.client.Status)
	return w
}

// awaitUnsuspected waits until the leader's state holds all members and suspects none of them. It returns false if
// Options.NoticeWithin passes or ctx ends first.
func (r *run) awaitUnsuspected(ctx context.Context, members []string) bool {
	return waitUntil(ctx, r.options.NoticeWithin, noticeInterval, func() bool {
		status, err := r.client.Status()
		return err == nil && status.IsLeader && allUnsuspected(status.State.Members, members)
	})
}

func allUnsuspected(state map[string]*rollout.Member, members []string) bool {
	for _, name := range members {
		if member := state[name]; member == nil || member.Suspected {
			return false
		}
	}
	return true
}

// follow polls the status until all members are suspected, the bound has passed or ctx has ended. It ignores answers of
// replicas that are not the leader.
func (w *suspicionWatch) follow(ctx context.Context, ask func() (fleet.Status, error)) {
	defer close(w.done)
	for {
		status, err := ask()
		after := time.Since(w.began)
		if after > w.bound {
			return
		}
		if err == nil && status.IsLeader {
			w.observe(status.State.Members, after)
		}
		if len(w.suspectedAt) == len(w.members) || !sleepFor(ctx, noticeInterval) {
			return
		}
	}
}

// observe records the members that are suspected in a state of the control log. The state arrived at the given time
// after began.
func (w *suspicionWatch) observe(state map[string]*rollout.Member, after time.Duration) {
	for _, name := range w.members {
		_, known := w.suspectedAt[name]
		if member := state[name]; !known && member != nil && member.Suspected {
			w.suspectedAt[name] = after
		}
	}
}

// await returns the result once the watch has ended. For a nil watch it returns nil.
func (w *suspicionWatch) await() *Notice {
	if w == nil {
		return nil
	}
	<-w.done
	notice := &Notice{Members: len(w.members), Suspected: len(w.suspectedAt), BoundSeconds: w.bound.Seconds()}
	if notice.Suspected < notice.Members {
		return notice
	}
	longest := 0.0
	for _, after := range w.suspectedAt {
		longest = max(longest, after.Seconds())
	}
	notice.MaxSeconds = &longest
	return notice
}

// logNotice logs the result of a watch, including members that were not suspected in time.
func (r *run) logNotice(notice *Notice) {
	switch {
	case notice == nil: // watchSuspicion has logged the reason, or the fault measures no time to notice
	case notice.MaxSeconds == nil:
		r.logf("fault not noticed in full: %d of %d members suspected within %.0f s", notice.Suspected, notice.Members,
			notice.BoundSeconds)
	default:
		r.logf("all %d members suspected after %.2f s", notice.Members, *notice.MaxSeconds)
	}
}
