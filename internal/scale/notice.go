package scale

import (
	"context"
	"slices"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// noticeInterval is the wait between two requests for the leader's status while suspicions are watched for.
const noticeInterval = 75 * time.Millisecond

// noticeFaults are the faults of a run with --notice, and noticeNames names the quantity of each fault that measures
// one.
var (
	noticeFaults = []string{"dead", "stop"}
	noticeNames  = map[string]string{"dead": "dead", "stop": "stopped", "one-way": "one_way"}
)

// WithNotice adds the faults that measure the time to notice a dead and a stopped member to a list of faults that may
// hold them already.
func WithNotice(faults []string) []string {
	faults = slices.Clone(faults)
	for _, name := range noticeFaults {
		if !slices.Contains(faults, name) {
			faults = append(faults, name)
		}
	}
	return faults
}

// Notice tells how long the control log took to suspect the members of a fault, counted from just before the fault
// began. Times are those of the leader's answers, so they are late by a request and the interval between two, at the
// most.
type Notice struct {
	Members      int     `json:"members"`       // that were watched
	Suspected    int     `json:"suspected"`     // of them, within the bound
	BoundSeconds float64 `json:"bound_seconds"` // that suspicions were watched for
	// until the last member was suspected; null: not all were within the bound
	MaxSeconds *float64 `json:"max_seconds"`
}

// suspicionWatch follows which of some members the leader's state has counted as suspected, and since when.
type suspicionWatch struct {
	members     []string
	began       time.Time
	bound       time.Duration
	suspectedAt map[string]time.Duration // since began, of the first answer that had it
	done        chan struct{}            // closed when all are suspected, or the bound or the context is over
}

func newSuspicionWatch(members []string, began time.Time, bound time.Duration) *suspicionWatch {
	return &suspicionWatch{members: members, began: began, bound: bound, suspectedAt: map[string]time.Duration{},
		done: make(chan struct{})}
}

// watchSuspicion waits until the leader's state has all of some members unsuspected, and watches them from then on,
// while the caller lets the fault begin. It returns nil, and notes that, where they were not all unsuspected within
// Options.NoticeWithin.
func (r *run) watchSuspicion(ctx context.Context, members []string, bound time.Duration) *suspicionWatch {
	if !r.awaitUnsuspected(ctx, members) {
		r.logf("time to notice is not measured: the log has not had all %d members unsuspected within %v", len(members),
			r.options.NoticeWithin)
		return nil
	}
	w := newSuspicionWatch(members, time.Now(), min(bound, r.options.NoticeWithin))
	go w.follow(ctx, r.client.Status)
	return w
}

// awaitUnsuspected tells whether the leader's state has all of some members unsuspected within Options.NoticeWithin.
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

// follow asks for the status until all members are suspected, or the bound or ctx is over. Answers of replicas that
// do not lead do not count.
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

// observe takes a state of the log that was answered so long after the begin.
func (w *suspicionWatch) observe(state map[string]*rollout.Member, after time.Duration) {
	for _, name := range w.members {
		_, known := w.suspectedAt[name]
		if member := state[name]; !known && member != nil && member.Suspected {
			w.suspectedAt[name] = after
		}
	}
}

// await returns what was found once the watch is over; nil of a watch that did not begin.
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

// noteNotice notes what a watch found, also that members were not noticed.
func (r *run) noteNotice(notice *Notice) {
	switch {
	case notice == nil: // watchSuspicion has noted why
	case notice.MaxSeconds == nil:
		r.logf("not noticed: %d of %d members are suspected within %.0f s", notice.Suspected, notice.Members,
			notice.BoundSeconds)
	default:
		r.logf("all %d members are suspected after %.2f s", notice.Members, *notice.MaxSeconds)
	}
}
