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

// At most maxFaulted members are in the hands of faults at a time, and at most one of them is a control replica: two
// faulted replicas of three would leave the cluster without a quorum.
const maxFaulted = 2

// memberFault is one kind of fault of front ends. Its injection returns once the fault has been undone.
type memberFault struct {
	kind   string
	layer  faultLayer
	inject func(r *rolloutRun, ctx context.Context, rng *rand.Rand)
}

// faultLayer is where a fault happens. Each has injectors of its own.
type faultLayer int

const (
	memberLayer  faultLayer = iota // processes and disks
	networkLayer                   // links between members
)

// memberFaults lists the kinds. What a seed draws depends on their order.
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

// startFaultInjectors starts two injectors of faults of members and one of faults of links; they end with ctx.
func (r *rolloutRun) startFaultInjectors(ctx context.Context) *sync.WaitGroup {
	var injectors sync.WaitGroup
	for i, layer := range []faultLayer{memberLayer, memberLayer, networkLayer} {
		rng := r.random(uint64(streamFaults + i))
		injectors.Go(func() { r.injectFaults(ctx, rng, layer) })
	}
	return &injectors
}

// injectFaults draws faults of a layer, and injects one after the other until ctx ends.
func (r *rolloutRun) injectFaults(ctx context.Context, rng *rand.Rand, layer faultLayer) {
	var chosen []memberFault
	for _, f := range memberFaults {
		if f.layer == layer && r.options.injects(f.kind) {
			chosen = append(chosen, f)
		}
	}
	for len(chosen) > 0 && sleep(ctx, drawDuration(rng, 500*time.Millisecond, 3*time.Second)) {
		chosen[rng.IntN(len(chosen))].inject(r, ctx, rng)
	}
}

// claim picks a member that no other fault has claimed; nil if there is none. onlyReplicas picks among control
// replicas.
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

// claimAllReplicas claims the control replicas; false, and none claimed, if another fault has one of them.
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

// isFaultedReplica tells whether a member is a control replica that a fault has claimed. The caller must hold mu.
func (r *rolloutRun) isFaultedReplica(m *cluster.Member) bool {
	return m.ControlReplica && r.faulted[m.Name]
}

// unclaim lets other faults claim a member.
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

// signalFault sends a signal that ends a member, which its service manager starts again.
func signalFault(kind string, signal syscall.Signal) func(*rolloutRun, context.Context, *rand.Rand) {
	return func(r *rolloutRun, ctx context.Context, rng *rand.Rand) {
		m := r.claim(rng, false)
		if m == nil {
			return
		}
		defer r.unclaim(m)
		r.options.logf("%s %s", kind, m.Name)
		m.Signal(signal)
		r.waitListening(ctx, m)
	}
}

// stopMember stops a member with SIGSTOP for a while.
func (r *rolloutRun) stopMember(ctx context.Context, rng *rand.Rand) {
	m := r.claim(rng, false)
	if m == nil {
		return
	}
	defer r.unclaim(m)
	r.options.logf("stop %s", m.Name)
	m.Signal(syscall.SIGSTOP)
	sleep(ctx, drawDuration(rng, time.Second, 10*time.Second))
	m.Signal(syscall.SIGCONT)
	r.waitListening(ctx, m)
}

// killAllReplicas kills all control replicas at once: no command is agreed for a while, and none that was may be lost.
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

// waitListening waits until a member's process listens again, or ctx ends.
func (r *rolloutRun) waitListening(ctx context.Context, m *cluster.Member) {
	sleep(ctx, 100*time.Millisecond)
	for !m.Listening() && sleep(ctx, 50*time.Millisecond) {
	}
}
