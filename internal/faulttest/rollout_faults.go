package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// maxFaulted is the largest number of members claimed by faults at a time. At most one of them is a control replica,
// since two faulted replicas of three would leave the cluster without a quorum; only killAllReplicas is exempt from
// this limit.
const maxFaulted = 2

// memberFault is one kind of fault of front ends. inject returns once the fault has ended.
type memberFault struct {
	kind   string
	layer  faultLayer
	inject func(r *rolloutRun, ctx context.Context, rng *rand.Rand)
}

// faultLayer is the part of the cluster that a fault affects. Each layer has its own injectors.
type faultLayer int

const (
	memberLayer  faultLayer = iota // processes and disks
	networkLayer                   // links between members
)

// memberFaults lists the kinds of faults. The faults that a seed draws depend on the order of this list.
var memberFaults = []memberFault{
	{kind: "kill", inject: signalFault("kill", syscall.SIGKILL)},
	{kind: "stop", inject: (*rolloutRun).stopMember},
	{kind: "term", inject: signalFault("term", syscall.SIGTERM)},
	{kind: "room", layer: networkLayer, inject: (*rolloutRun).isolateZone},
	{kind: "one-way", layer: networkLayer, inject: (*rolloutRun).cutOneWay},
	{kind: "slow", layer: networkLayer, inject: (*rolloutRun).delayZone},
	{kind: "lossy", layer: networkLayer, inject: (*rolloutRun).loseDatagrams},
	{kind: "reset", layer: networkLayer, inject: (*rolloutRun).resetConnections},
	{kind: "disk", inject: (*rolloutRun).loseDisk},
	{kind: "full", inject: diskFault("full")},
	{kind: "sync", inject: diskFault("sync")},
	{kind: "slow-disk", inject: diskFault("slow")},
	{kind: "keepers", inject: (*rolloutRun).killAllReplicas},
}

func memberFaultKinds() (kinds []string) {
	for _, f := range memberFaults {
		kinds = append(kinds, f.kind)
	}
	return kinds
}

// startFaultInjectors starts two injectors of member faults and one of link faults, which end when ctx ends.
func (r *rolloutRun) startFaultInjectors(ctx context.Context) *sync.WaitGroup {
	var injectors sync.WaitGroup
	for i, layer := range []faultLayer{memberLayer, memberLayer, networkLayer} {
		rng := r.random(uint64(streamFaults + i))
		injectors.Go(func() { r.injectFaults(ctx, rng, layer) })
	}
	return &injectors
}

// injectFaults draws faults of a layer and injects one after the other, until ctx ends.
func (r *rolloutRun) injectFaults(ctx context.Context, rng *rand.Rand, layer faultLayer) {
	var candidates []memberFault
	for _, f := range memberFaults {
		if f.layer == layer && r.options.injects(f.kind) {
			candidates = append(candidates, f)
		}
	}
	for len(candidates) > 0 && sleep(ctx, drawDuration(rng, 500*time.Millisecond, 3*time.Second)) {
		candidates[rng.IntN(len(candidates))].inject(r, ctx, rng)
	}
}

// claim draws a member that no other fault has claimed, only among control replicas if onlyReplicas is set. It returns
// nil if no such member may get a fault now.
func (r *rolloutRun) claim(rng *rand.Rand, onlyReplicas bool) *cluster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	replicaFaulted := slices.ContainsFunc(r.cluster.Members, r.isFaultedReplica)
	var free []*cluster.Member
	for _, m := range r.cluster.Members {
		switch {
		case r.faulted[m.Name], m.ControlReplica && replicaFaulted, onlyReplicas && !m.ControlReplica:
		default:
			free = append(free, m)
		}
	}
	if len(free) == 0 || len(r.faulted) >= maxFaulted {
		return nil
	}
	m := free[rng.IntN(len(free))]
	r.faulted[m.Name] = true
	return m
}

// claimAllReplicas claims all control replicas. It claims none and returns false if another fault has claimed one.
func (r *rolloutRun) claimAllReplicas() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.cluster.Members, r.isFaultedReplica) {
		return false
	}
	for _, m := range r.replicas() {
		r.faulted[m.Name] = true
	}
	return true
}

// isFaultedReplica reports whether a member is a control replica that a fault has claimed. The caller must hold mu.
func (r *rolloutRun) isFaultedReplica(m *cluster.Member) bool {
	return m.ControlReplica && r.faulted[m.Name]
}

// unclaim makes a member available to other faults.
func (r *rolloutRun) unclaim(m *cluster.Member) {
	r.mu.Lock()
	delete(r.faulted, m.Name)
	r.mu.Unlock()
}

// replicas returns the members that are control replicas.
func (r *rolloutRun) replicas() (replicas []*cluster.Member) {
	for _, m := range r.cluster.Members {
		if m.ControlReplica {
			replicas = append(replicas, m)
		}
	}
	return replicas
}

// signalFault returns an injection that ends a member's process with a signal. The supervisor restarts the process.
func signalFault(kind string, signal syscall.Signal) func(*rolloutRun, context.Context, *rand.Rand) {
	return func(r *rolloutRun, ctx context.Context, rng *rand.Rand) {
		m := r.claim(rng, false)
		if m == nil {
			return
		}
		defer r.unclaim(m)
		r.options.logf("signal %s to %s", kind, m.Name)
		m.Signal(signal)
		r.waitListening(ctx, m)
	}
}

// stopMember stops a member's process with SIGSTOP for a while.
func (r *rolloutRun) stopMember(ctx context.Context, rng *rand.Rand) {
	m := r.claim(rng, false)
	if m == nil {
		return
	}
	defer r.unclaim(m)
	r.options.logf("SIGSTOP to %s", m.Name)
	m.Signal(syscall.SIGSTOP)
	sleep(ctx, drawDuration(rng, time.Second, 10*time.Second))
	m.Signal(syscall.SIGCONT)
	r.waitListening(ctx, m)
}

// killAllReplicas kills all control replicas at once. No command can be agreed on until they have restarted, and no
// agreed command may be lost.
func (r *rolloutRun) killAllReplicas(ctx context.Context, _ *rand.Rand) {
	if !r.claimAllReplicas() {
		return
	}
	r.options.logf("kill all control replicas")
	for _, m := range r.replicas() {
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range r.replicas() {
		r.waitListening(ctx, m)
		r.unclaim(m)
	}
}

// waitListening waits until a member's process listens again, or until ctx ends.
func (r *rolloutRun) waitListening(ctx context.Context, m *cluster.Member) {
	sleep(ctx, 100*time.Millisecond)
	for !m.Listening() && sleep(ctx, 50*time.Millisecond) {
	}
}
