package faulttest

import (
	"context"
	"slices"
	"sync"
	"time"

	"beechcart/decision/rollout"
)

// newLoad returns the load of the run, spread over its front ends.
func (r *rolloutRun) newLoad() *Load {
	return &Load{
		Rate:    r.options.Rate,
		Classes: Classes,
		Rand:    r.random(streamLoad),
		Pick:    r.newPicker(),
		Lost:    r.disturbed,
	}
}

// newPicker returns a load balancer in front of the front ends. It knows, with a little delay, which of them accept
// requests, and spreads evenly over those.
func (r *rolloutRun) newPicker() func() string {
	const tries = 50
	var mu sync.Mutex
	rng := r.random(streamPick)
	members := r.cluster.Members
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		for range tries {
			if m := members[rng.IntN(len(members))]; m.AcceptsRequests() {
				return m.Addr
			}
		}
		return members[0].Addr
	}
}

// disturbed tells whether the front end at an address was killed or stopped at any time between.
func (r *rolloutRun) disturbed(address string, from, to time.Time) bool {
	for _, m := range r.cluster.Members {
		if m.Addr == address {
			return m.Disturbed(from, to)
		}
	}
	return false
}

// traffic sums what members have sent to each other over some time.
type traffic struct {
	bytes, messages float64
	seconds         float64
}

// measureTraffic measures, until ctx ends, the traffic between members at rest and while a release is active.
func (r *rolloutRun) measureTraffic(ctx context.Context) {
	const rest, release, unknown = "rest", "release", ""
	sums := map[string]*traffic{rest: {}, release: {}, unknown: {}}
	bytes, messages := r.network.Traffic()
	at := time.Now()
	for sleep(ctx, 500*time.Millisecond) {
		bytesNow, messagesNow := r.network.Traffic()
		elapsed := time.Since(at).Seconds()
		phase := rest
		if status := r.leaderStatus(); status == nil {
			phase = unknown
		} else if active := status.State.Release; active != nil && active.State != rollout.Done {
			phase = release
		}
		sum := sums[phase]
		sum.bytes += float64(bytesNow - bytes)
		sum.messages += float64(messagesNow - messages)
		sum.seconds += elapsed
		bytes, messages, at = bytesNow, messagesNow, time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, phase := range []string{rest, release} {
		if sum := sums[phase]; sum.seconds > 0 {
			memberSeconds := sum.seconds * float64(r.options.FrontEnds)
			r.figures["bytes_member_s_"+phase] = sum.bytes / memberSeconds
			r.figures["messages_member_s_"+phase] = sum.messages / memberSeconds
		}
	}
}

// measureCPU records the share of a core that the leader's process takes, and the median of the members that are no
// control replicas.
func (r *rolloutRun) measureCPU() {
	status := r.leaderStatus()
	if status == nil {
		return
	}
	var others []float64
	for _, m := range r.cluster.Members {
		processes := m.Processes()
		current := processes[len(processes)-1]
		share := CPUSeconds(m.Pid()) / time.Since(current.StartedAt).Seconds()
		if m.Name == status.Replica {
			r.count("cpu_leader", share)
		} else if !m.ControlReplica {
			others = append(others, share)
		}
	}
	if slices.Sort(others); len(others) > 0 {
		r.count("cpu_member", others[len(others)/2])
	}
}
