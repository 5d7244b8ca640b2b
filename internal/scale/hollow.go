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

// Times in the life of a front end's process. They match those of a real front end.
const (
	registrationTimeout = 3 * time.Second        // a front end that has not registered by then serves unregistered
	leaveReportTimeout  = 500 * time.Millisecond // bounds the report of the shutdown
	restartDelay        = 200 * time.Millisecond // delay of the service manager before it restarts a process
)

// simulatedCapacityPerSecond is the capacity of a simulated front end, in requests a second. All have the same
// capacity, so budgets that are weighted by capacity depend only on the number of front ends.
const simulatedCapacityPerSecond = 100

// simulatedMember is one front end without client traffic. It lives on through restarts of its process.
type simulatedMember struct {
	config  MemberConfig
	options fleet.Options
	wire    *fleet.Transport
	engines []rollout.Engine
	rate    float64 // requests a second that the front end reports as served

	mu  sync.Mutex
	now process
}

// process is one incarnation of a simulated front end.
type process struct {
	member *fleet.Member // nil: no process runs
	front  *simulatedFrontEnd
}

func newSimulatedMember(config *HostConfig, member MemberConfig) *simulatedMember {
	address, _, _ := net.SplitHostPort(member.Gossip) // HostConfig.Check has validated the address
	wire := fleet.NewTransport(address)
	h := &simulatedMember{config: member, wire: wire, rate: config.RequestsASec}
	h.options = fleet.Options{Name: member.Name, Zone: member.Zone, Revision: config.Revision,
		CapacityPerSecond: simulatedCapacityPerSecond,
		GossipAddress:     member.Gossip,
		ControlReplicas:   config.Replicas, LogDirectory: member.Dir, Key: config.Key, Settings: rollout.Defaults(),
		Transport: wire,
		Log:       slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))}
	if member.Dir != "" {
		h.engines = listedEngines(config.Engines)
	}
	return h
}

func listedEngines(engines []EngineConfig) (listed []rollout.Engine) {
	for _, engine := range engines {
		listed = append(listed, rollout.Engine{Name: engine.Name, Zone: engine.Zone, Cores: engine.Cores, Process: 1,
			Listed: true, Ready: true})
	}
	return listed
}

// current returns the running process; its member is nil if none runs.
func (h *simulatedMember) current() process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *simulatedMember) set(p process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = p
}

// run runs one process after the other, as a service manager does, until ctx ends or the fleet drains the member. It
// returns the error of a process that cannot join the fleet.
func (h *simulatedMember) run(ctx context.Context, slots chan struct{}) error {
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
		sleep(ctx, restartDelay)
	}
	return nil
}

// runProcess joins the fleet and serves until ctx ends or the fleet grants a shutdown. It returns the grant.
func (h *simulatedMember) runProcess(ctx context.Context, slots chan struct{}) (grant fleet.ShutdownGrant, err error) {
	if !h.acquire(ctx, slots) {
		return fleet.ShutdownGrant{}, nil
	}
	started := process{front: newSimulatedFrontEnd(h.engines, h.rate)}
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
	started.member.Close(leaveReportTimeout)
	h.set(process{})
	return grant, nil
}

// acquire waits for a start slot. It returns false if ctx ends first. Control replicas need no slot, because front ends
// cannot register without them.
func (h *simulatedMember) acquire(ctx context.Context, slots chan struct{}) bool {
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

func (h *simulatedMember) release(slots chan struct{}) {
	if h.config.Dir == "" {
		<-slots
	}
}

// known reports whether the control log has registered the process.
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
