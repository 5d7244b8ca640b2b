package scale

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// Times of a front end's process, as a real one has them.
const (
	registrationTimeout = 3 * time.Second        // that a start waits for the log to take it, before it serves without
	goneWithin          = 500 * time.Millisecond // that the report of its end may take
	restartsAfter       = 200 * time.Millisecond // that its service manager starts it again
)

// hollowWeight is what a hollow front end can carry, in requests a second. All carry the same, so budgets go by number.
const hollowWeight = 100

// hollow is one front end without client traffic, through all its processes.
type hollow struct {
	config  HollowMember
	options fleet.Options
	wire    *fleet.Transport
	engines []rollout.Engine
	rate    float64 // requests a second that it counts

	mu  sync.Mutex
	now process
}

// process is one start of a hollow front end.
type process struct {
	member *fleet.Member // nil: none runs
	front  *hollowFront
}

func newHollow(config *HostConfig, member HollowMember) *hollow {
	address, _, _ := net.SplitHostPort(member.Gossip) // checked with the configuration
	wire := fleet.NewTransport(address)
	h := &hollow{config: member, wire: wire, rate: config.RequestsASec}
	h.options = fleet.Options{Name: member.Name, Zone: member.Zone, Revision: config.Revision,
		CapacityPerSecond: hollowWeight,
		GossipAddress:     member.Gossip,
		ControlReplicas:   config.Replicas, LogDirectory: member.Dir, Key: config.Key, Settings: rollout.Defaults(),
		Transport: wire,
		Log:       slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))}
	if member.Dir != "" {
		h.engines = listedEngines(config.Engines)
	}
	return h
}

func listedEngines(engines []HollowEngine) (listed []rollout.Engine) {
	for _, engine := range engines {
		listed = append(listed, rollout.Engine{Name: engine.Name, Zone: engine.Zone, Cores: engine.Cores, Process: 1,
			Listed: true, Ready: true})
	}
	return listed
}

// current is the process that runs now.
func (h *hollow) current() process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hollow) set(p process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = p
}

// run runs one process after the other, as a service manager does, until ctx ends or the fleet drains it. An error
// tells what can't be opened.
func (h *hollow) run(ctx context.Context, slots chan struct{}) error {
	for ctx.Err() == nil {
		grant, err := h.runProcess(ctx, slots)
		if err != nil {
			return err
		}
		if grant.Purpose == rollout.Drain {
			return nil
		}
		if grant.Revision != "" {
			h.options.Revision = grant.Revision
		}
		sleep(ctx, restartsAfter)
	}
	return nil
}

// runProcess joins the fleet and serves, until ctx ends or the fleet grants a shutdown, which it returns.
func (h *hollow) runProcess(ctx context.Context, slots chan struct{}) (grant fleet.ShutdownGrant, err error) {
	if !h.acquire(ctx, slots) {
		return fleet.ShutdownGrant{}, nil
	}
	started := process{front: newHollowFront(h.engines, h.rate)}
	if started.member, err = fleet.Join(h.options, started.front); err != nil {
		h.release(slots)
		return fleet.ShutdownGrant{}, err
	}
	h.set(started)
	select {
	case <-started.member.Registered():
	case <-time.After(registrationTimeout):
	case <-ctx.Done():
	}
	h.release(slots)
	if ctx.Err() == nil {
		started.member.SetPhase(rollout.Serving)
	}
	select {
	case <-ctx.Done():
	case grant = <-started.member.Shutdowns():
		started.member.SetPhase(rollout.Draining)
	}
	started.member.Close(goneWithin)
	h.set(process{})
	return grant, nil
}

// acquire waits for a slot to start in; false where ctx ends before. Replicas need none: the others can't start
// without them.
func (h *hollow) acquire(ctx context.Context, slots chan struct{}) bool {
	if h.config.Dir != "" {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *hollow) release(slots chan struct{}) {
	if h.config.Dir == "" {
		<-slots
	}
}

// known tells whether the log has taken the process.
func (p process) known() bool {
	select {
	case <-p.member.Registered():
		return true
	default:
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
