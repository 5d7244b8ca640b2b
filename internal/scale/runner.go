package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// pollInterval is the interval at which the runner polls the hosts' reports and the control replicas.
const pollInterval = 100 * time.Millisecond

// maxDrains is the budget of databases that may be drained at the same time. The budget leaves room for drains
// that stay in force because the control log had no quorum when they were to be undone.
const maxDrains = 50

// run is the state of one run.
type run struct {
	options Options
	rng     *rand.Rand
	dir     string
	plan    *layout
	client  *fleet.Client
	hosts   []*hostProcess // control replicas first
	idle    *hostProcess   // a host process without members, to measure the cost of the harness
	fakes   *fakeServers
	fronts  []*realFrontEnd
	began   time.Time
	changes changeLog
	nextID  int
}

// Run starts a fleet, measures it, stops it and returns the result. It returns an error if the run could not be
// completed; missed budgets are part of the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	r := &run{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), began: time.Now()}
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	result := &Result{Scale: Sizes{Members: o.Members, Real: o.Real, Simulated: o.Members - o.Real, Engines: o.Engines,
		Control: o.Control},
		Seed: o.Seed, InForceOf: InForceOf, At: r.began}
	if err := r.assemble(ctx, result); err != nil {
		return nil, err
	}
	r.measureQuiet(ctx, result)
	r.runChanges(ctx)
	if err := r.runPrimaryChanges(ctx, result); err != nil {
		return nil, err
	}
	if err := r.injectFaults(ctx, result); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.changes.summarize(result)
	result.Machine.ResidentBytes = max(result.Machine.ResidentBytes, r.resident())
	result.judge()
	return result, nil
}

func (r *run) logf(format string, a ...any) {
	if r.options.Logf != nil {
		r.options.Logf("%6.1f s  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
	}
}

// open plans the layout of the fleet and starts the fake servers. It starts no member.
func (r *run) open() (err error) {
	if r.dir, err = os.MkdirTemp("", "beechcart-scale"); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if r.plan, err = newLayout(&r.options, r.dir); err != nil {
		return err
	}
	r.client = fleet.NewClient(&fleet.Options{ControlReplicas: r.plan.replicas, Key: r.plan.key})
	for _, plan := range r.plan.hosts {
		r.hosts = append(r.hosts, r.newHost(plan))
	}
	r.idle = r.newHost(hostPlan{name: "idle"})
	if r.options.Real > 0 {
		r.fakes, err = startFakeServers(r.plan.engines)
	}
	return err
}

func (r *run) newHost(plan hostPlan) *hostProcess {
	return &hostProcess{plan: plan, config: r.plan.config(plan.members), command: r.options.HostCommand, dir: r.dir}
}

// close stops all processes and removes their files.
func (r *run) close() {
	for _, f := range r.fronts {
		_ = f.front.Stop()
	}
	ended := make(chan struct{})
	all := slices.Clone(r.hosts)
	if r.idle != nil {
		all = append(all, r.idle)
	}
	for _, h := range all {
		go func() {
			h.stop()
			ended <- struct{}{}
		}()
	}
	for range all {
		<-ended
	}
	if r.fakes != nil {
		r.fakes.close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}

// assemble starts the control replicas, initializes the control log, starts all other members one host after the other,
// and waits until the membership is complete, for Options.FormWithin at most. An incomplete membership is a result of
// the run, not an error.
func (r *run) assemble(ctx context.Context, result *Result) error {
	for _, h := range append([]*hostProcess{r.idle}, r.hosts[:r.options.Control]...) {
		if err := h.start(); err != nil {
			return err
		}
	}
	if err := r.initLog(ctx); err != nil {
		return err
	}
	r.logf("control log initialized")
	for _, h := range r.hosts[r.options.Control:] {
		if err := h.start(); err != nil {
			return err
		}
		if !sleepFor(ctx, r.options.StartPace) {
			return ctx.Err()
		}
	}
	if err := r.startFrontEnds(); err != nil {
		return err
	}
	r.logf("all processes started")
	r.awaitAssembled(ctx)
	state := r.observe()
	result.Formation.Seconds = time.Since(r.began).Seconds()
	result.Formation.Unknown = state.members - state.known
	r.logf("%d of %d simulated members registered; members hear of %d members at least, %.1f on average",
		state.known, state.members, state.heardLeast, state.heardMean)
	r.awaitEngines(ctx)
	return ctx.Err()
}

// initLog initializes the control log and configures budgets that allow the drains of the run.
func (r *run) initLog(ctx context.Context) error {
	within, cancel := context.WithTimeout(ctx, r.options.FormWithin)
	defer cancel()
	for {
		err := r.client.Init()
		if err == nil || errors.As(err, new(*fleet.RejectedError)) {
			break
		}
		if !sleepFor(within, pollInterval) {
			return fmt.Errorf("scale: control log not initialized: %w\n%s", err, r.errorOutput())
		}
	}
	settings := rollout.Defaults()
	settings.Engines = rollout.Budget{Max: maxDrains}
	if _, err := r.apply(within, rollout.Command{Configure: &settings}); err != nil {
		return fmt.Errorf("scale: control log did not accept the settings: %w\n%s", err, r.errorOutput())
	}
	return nil
}

func (r *run) startFrontEnds() error {
	for _, m := range r.plan.members[r.options.Members-r.options.Real:] {
		dir := filepath.Join(r.dir, m.Name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
		f, err := startRealFrontEnd(&r.options, r.plan, m, r.fakes.log.Addr, dir)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
	}
	return nil
}

// awaitAssembled waits until the membership is complete, for Options.FormWithin at most.
func (r *run) awaitAssembled(ctx context.Context) bool {
	return waitUntil(ctx, r.options.FormWithin, pollInterval,
		func() bool { return r.observe().complete(r.options.Members) })
}

// awaitEngines waits until the control log lists all databases, because only a listed database can be drained.
func (r *run) awaitEngines(ctx context.Context) {
	var s fleet.Status
	var err error
	listed := waitUntil(ctx, r.options.FormWithin, time.Second, func() bool {
		s, err = r.client.Status()
		return err == nil && s.IsLeader && len(s.State.Engines) >= r.options.Engines
	})
	if !listed {
		r.logf("the log has %d of %d databases (%v)", len(s.State.Engines), r.options.Engines, err)
		return
	}
	r.logf("the log has %d members and %d databases; %s leads", len(s.State.Members), len(s.State.Engines), s.Replica)
}

// measureQuiet measures the cost of the fleet while no change is made.
func (r *run) measureQuiet(ctx context.Context, result *Result) {
	sleepFor(ctx, r.options.Settle)
	from := time.Now()
	r.logf("quiet window of %d s begins", r.options.Seconds)
	// The window is one report interval longer, so that even the shortest one contains two reports.
	sleepFor(ctx, time.Duration(r.options.Seconds)*time.Second+reportMillis*time.Millisecond)
	to := time.Now()
	c := r.costsBetween(from, to)
	result.QuietSeconds = to.Sub(from).Seconds()
	result.PerMember, result.Control, result.Harness = c.member, c.control, c.harness
	result.Formation.HeardLeast = r.observe().heardLeast
	result.Machine = Machine{Processes: r.options.processes(), ResidentBytes: r.resident(), CPUCores: c.cpuCores}
	r.logf("a member sends %.0f B/s, receives %.0f B/s, uses %.4f cores", c.member.SentBytesPerSecond,
		c.member.ReceivedBytesPerSecond, c.member.CPUShare)
}

// resident returns the resident memory of all processes, in bytes.
func (r *run) resident() uint64 {
	sum := residentBytesOf(os.Getpid())
	for _, h := range append([]*hostProcess{r.idle}, r.hosts...) {
		if pid := h.pid(); pid > 0 {
			sum += residentBytesOf(pid)
		}
	}
	for _, f := range r.fronts {
		sum += residentBytesOf(f.front.Pid())
	}
	return sum
}

// apply sends a command to the control log, and retries it under the same id until it is answered or ctx ends.
func (r *run) apply(ctx context.Context, c rollout.Command) (applied, error) {
	r.nextID++
	c.ID, c.RequestedBy = fmt.Sprintf("scale-%d", r.nextID), "scale run"
	for {
		sent := time.Now()
		result, err := r.client.Apply(c)
		if err == nil && result.Rejected != nil {
			return applied{}, result.Rejected
		}
		if err == nil {
			return applied{result, sent}, nil
		}
		if !sleepFor(ctx, 20*time.Millisecond) {
			return applied{}, err
		}
	}
}

// applied is the result of a command, and the start of the call that was answered. The start is never later than the
// moment at which the log accepted the command.
type applied struct {
	result rollout.Result
	sent   time.Time
}

// errorOutput returns the last 500 bytes of the standard error of each control replica's host, for error messages.
func (r *run) errorOutput() (text string) {
	var tails strings.Builder
	for _, h := range r.hosts[:r.options.Control] {
		if errs, err := os.ReadFile(filepath.Join(r.dir, h.plan.name+".err")); err == nil && len(errs) > 0 {
			tails.WriteString(h.plan.name + ": " + string(errs[max(0, len(errs)-500):]) + "\n")
		}
	}
	text += tails.String()
	return text
}

// sleepFor waits for d. It returns false if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// waitUntil polls ready, first at once and then at an interval, until it returns true. waitUntil returns false if the
// bound passes or ctx ends first.
func waitUntil(ctx context.Context, bound, interval time.Duration, ready func() bool) bool {
	within, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for !ready() {
		if !sleepFor(within, interval) {
			return false
		}
	}
	return true
}
