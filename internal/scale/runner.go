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

// lookInterval is the time from one look at the hosts' reports to the next.
const lookInterval = 100 * time.Millisecond

// mostDrains is the budget of databases that may be drained at once: enough for drains that a fleet without agreement
// did not end.
const mostDrains = 50

// run is a running fleet.
type run struct {
	options Options
	rng     *rand.Rand
	dir     string
	plan    *layout
	client  *fleet.Client
	hosts   []*hostProcess // control replicas first
	idle    *hostProcess   // without members: what the harness costs
	stands  *fakeServers
	fronts  []*realFrontEnd
	began   time.Time
	changes changeLog
	nextID  int
}

// Run starts a fleet, measures it, ends it and tells what was found. An error tells that it could not be run.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	r := &run{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), began: time.Now()}
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	result := &Result{Scale: Sizes{Members: o.Members, Real: o.Real, Hollow: o.Members - o.Real, Engines: o.Engines,
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

// open lays the fleet out and starts the fake servers; no member runs yet.
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
		r.stands, err = startFakeServers(r.plan.engines)
	}
	return err
}

func (r *run) newHost(plan hostPlan) *hostProcess {
	return &hostProcess{plan: plan, config: r.plan.config(plan.members), command: r.options.HostCommand, dir: r.dir}
}

// close ends all processes and removes their files.
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
	if r.stands != nil {
		r.stands.close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}

// assemble starts the control replicas, lets them begin the log, starts all other members one host after the other, and
// waits until the log knows all and all hear of all, or the bound is over. A fleet that does not come together is a
// finding and no error.
func (r *run) assemble(ctx context.Context, result *Result) error {
	for _, h := range append([]*hostProcess{r.idle}, r.hosts[:r.options.Control]...) {
		if err := h.start(); err != nil {
			return err
		}
	}
	if err := r.initLog(ctx); err != nil {
		return err
	}
	r.logf("the log has begun")
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
	r.logf("all processes are started")
	r.awaitAssembled(ctx)
	state := r.observe()
	result.Formation.Seconds = time.Since(r.began).Seconds()
	result.Formation.Unknown = state.members - state.known
	r.logf("%d of %d hollow members are known; least heard of %d, mean %.1f", state.known, state.members,
		state.heardLeast, state.heardMean)
	r.awaitEngines(ctx)
	return ctx.Err()
}

// initLog lets the replicas begin the log, and agrees on budgets that let the run's drains through.
func (r *run) initLog(ctx context.Context) error {
	within, cancel := context.WithTimeout(ctx, r.options.FormWithin)
	defer cancel()
	for {
		err := r.client.Init()
		if err == nil || errors.As(err, new(*fleet.RejectedError)) {
			break
		}
		if !sleepFor(within, lookInterval) {
			return fmt.Errorf("scale: the control replicas do not begin: %w\n%s", err, r.errorOutput())
		}
	}
	settings := rollout.Defaults()
	settings.Engines = rollout.Budget{Max: mostDrains}
	if _, err := r.apply(within, rollout.Command{Configure: &settings}); err != nil {
		return fmt.Errorf("scale: the control replicas agree on nothing: %w\n%s", err, r.errorOutput())
	}
	return nil
}

func (r *run) startFrontEnds() error {
	for _, m := range r.plan.members[r.options.Members-r.options.Real:] {
		dir := filepath.Join(r.dir, m.Name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
		f, err := startRealFrontEnd(&r.options, r.plan, m, r.stands.log.Addr, dir)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
	}
	return nil
}

// awaitAssembled waits until all hollow members are known and hear of all, for so long at most.
func (r *run) awaitAssembled(ctx context.Context) bool {
	return waitUntil(ctx, r.options.FormWithin, lookInterval,
		func() bool { return r.observe().complete(r.options.Members) })
}

// awaitEngines waits until the log has all databases; drains need them.
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

// measureQuiet measures what the fleet costs while nothing happens.
func (r *run) measureQuiet(ctx context.Context, result *Result) {
	sleepFor(ctx, r.options.Settle)
	from := time.Now()
	r.logf("quiet for %d s", r.options.Seconds)
	// The window ends after a report, so that there are two even in the shortest.
	sleepFor(ctx, time.Duration(r.options.Seconds)*time.Second+reportMillis*time.Millisecond)
	to := time.Now()
	c := r.costsBetween(from, to)
	result.QuietSeconds = to.Sub(from).Seconds()
	result.PerMember, result.Control, result.Harness = c.member, c.control, c.harness
	result.Formation.HeardLeast = r.observe().heardLeast
	result.Machine = Machine{Processes: r.options.processes(), ResidentBytes: r.resident(), CPUCores: c.cpuCores}
	r.logf("a member sends %.0f B/s, receives %.0f B/s, takes %.4f of a core", c.member.SentBytesPerSecond,
		c.member.ReceivedBytesPerSecond, c.member.CPUShare)
}

// resident sums the memory of all processes up.
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

// apply enters a command, again under the same id until it is answered or ctx is over.
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

// applied is what a command was answered with, and when the call was made that was answered: no later than the log
// accepted it.
type applied struct {
	result rollout.Result
	sent   time.Time
}

// errorOutput is what hosts have written to standard error last, for an error.
func (r *run) errorOutput() (text string) {
	var textSb273 strings.Builder
	for _, h := range r.hosts[:r.options.Control] {
		if errs, err := os.ReadFile(filepath.Join(r.dir, h.plan.name+".err")); err == nil && len(errs) > 0 {
			textSb273.WriteString(h.plan.name + ": " + string(errs[max(0, len(errs)-500):]) + "\n")
		}
	}
	text += textSb273.String()
	return text
}

// sleepFor waits; false once ctx is over.
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

// waitUntil asks at an interval whether something is ready, at once first; false once the bound or ctx is over before
// it is.
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
