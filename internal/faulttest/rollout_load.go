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

// newPicker returns the Load.Pick function of the run: a load balancer that spreads requests evenly over the front ends
// that accept requests. It notices with a short delay that a front end has stopped accepting them.
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

// disturbed reports whether the front end at an address was killed or stopped at any time between from and to.
func (r *rolloutRun) disturbed(address string, from, to time.Time) bool {
	for _, m := range r.cluster.Members {
		if m.Addr == address {
			return m.Disturbed(from, to)
		}
	}
	return false
}

// traffic is the sum of the traffic between members over a time.
type traffic struct {
	bytes, messages float64
	seconds         float64
}

// measureTraffic measures the traffic between members until ctx ends, without a release and during one.
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
			r.measurements["bytes_member_s_"+phase] = sum.bytes / memberSeconds
			r.measurements["messages_member_s_"+phase] = sum.messages / memberSeconds
		}
	}
}

// measureCPU records the share of a core that the leader's process uses, and the median share of the members that are
// not control replicas.
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
