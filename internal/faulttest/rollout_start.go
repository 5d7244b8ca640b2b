package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fake/changelog"
	"beechcart/internal/faulttest/cluster"
	"beechcart/internal/fleet"
)

// Limits of each front end of the test cluster.
const (
	frontMemoryMB = 192
	frontSockets  = 1024
)

// startRollout starts the fake servers and the test cluster, and returns once the cluster serves with the test's
// budgets. The caller must close the run.
func startRollout(ctx context.Context, o Options) (_ *rolloutRun, err error) {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		return nil, fmt.Errorf("faulttest: %w", err)
	}
	run := newRolloutRun(o)
	defer func() {
		if err != nil {
			run.close()
		}
	}()
	run.onClose(func() { _ = os.RemoveAll(dir) })
	run.onClose(run.network.Close)
	if err := run.startChangeLogs(); err != nil {
		return nil, err
	}
	if err := run.startEngines(); err != nil {
		return nil, err
	}
	if err := run.startCluster(ctx, dir); err != nil {
		return nil, err
	}
	if err := run.configure(ctx); err != nil {
		return nil, err
	}
	return run, run.waitAssembled(ctx)
}

// onClose registers a function that releases a resource when the run is closed.
func (r *rolloutRun) onClose(release func()) { r.closers = append(r.closers, release) }

// close stops all processes and releases all resources, in the reverse order of their acquisition.
func (r *rolloutRun) close() {
	for _, release := range slices.Backward(r.closers) {
		release()
	}
}

func (r *rolloutRun) startChangeLogs() error {
	for _, log := range []**changelog.Log{&r.goodLog, &r.badLog} {
		started, err := changelog.Start("127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("faulttest: %w", err)
		}
		*log = started
		r.onClose(started.Close)
	}
	return nil
}

func (r *rolloutRun) startCluster(ctx context.Context, dir string) (err error) {
	starter := &frontStarter{run: r, dir: dir, starts: map[string]int{}}
	r.cluster, err = cluster.New(cluster.Options{
		Members:         r.options.FrontEnds,
		Zones:           rolloutZones,
		ControlReplicas: controlReplicas,
		Dir:             dir,
		Network:         r.network,
		Logf:            r.options.logf,
		Start:           starter.start,
	})
	if err != nil {
		return err
	}
	r.onClose(r.cluster.Stop)
	return r.cluster.Start(ctx, firstRevision)
}

// frontStarter starts the front end processes of the members. It is safe for concurrent use.
type frontStarter struct {
	run *rolloutRun
	dir string

	mu     sync.Mutex
	starts map[string]int // number of starts so far, by member
}

func (s *frontStarter) start(m *cluster.Member, revision, fleetSettings string) (cluster.FrontEnd, error) {
	dir, err := s.newDir(m.Name)
	if err != nil {
		return nil, err
	}
	front, err := StartFrontEnd(FrontEndOptions{
		Program:          s.run.options.Program,
		Dir:              dir,
		Name:             m.Name,
		Listen:           m.Addr,
		ChangeLog:        s.run.changeLogOf(revision).Addr,
		MemoryMB:         frontMemoryMB,
		Descriptors:      frontSockets,
		PlatformSettings: memberPlatformSettings(m, s.run.options.FrontEnds),
		OperatorSettings: `{"schema":1,"fleet":` + fleetSettings + `}`,
		OnLogLine:        func(line string) { s.run.followLog(m, line) },
	})
	if err != nil {
		return nil, err // a nil *FrontEnd in the interface cluster.FrontEnd would not be nil
	}
	return front, nil
}

// newDir creates the directory for the next process of a member.
func (s *frontStarter) newDir(member string) (string, error) {
	s.mu.Lock()
	s.starts[member]++
	dir := filepath.Join(s.dir, fmt.Sprintf("%s-%d", member, s.starts[member]))
	s.mu.Unlock()
	return dir, os.Mkdir(dir, 0o700)
}

// changeLogOf returns the change log that front ends of a revision read. The log of the bad revision lists the same
// engines at the addresses of their defective processes.
func (r *rolloutRun) changeLogOf(revision string) *changelog.Log {
	if revision == badRevision {
		return r.badLog
	}
	return r.goodLog
}

// memberPlatformSettings returns the platform's settings of one member of the cluster, in the zones of the test.
func memberPlatformSettings(m *cluster.Member, members int) string {
	const one, oneZone = `"locality":"room-a","me":0,"replicas_of_me":1`, `"zones":["room-a"]`
	own := fmt.Sprintf(`"locality":%q,"me":%d,"replicas_of_me":%d`, m.Zone, m.Number, members)
	text := strings.Replace(Settings, one, own, 1)
	return strings.Replace(text, oneZone, `"zones":["room-a","room-b","room-c"]`, 1)
}

// configure initializes the replicated log and sets the budgets of the test.
func (r *rolloutRun) configure(ctx context.Context) error {
	initErr := r.initLog(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	settings := r.settings()
	if _, err := r.apply(ctx, rollout.Command{Configure: &settings}); err != nil {
		return fmt.Errorf("faulttest: no control replica accepts the settings: %w (initialization of the log: %w)", err,
			initErr)
	}
	return nil
}

// initLog requests the initialization of the log until a control replica has initialized the log or rejects the request
// because the log exists. It returns the last error.
func (r *rolloutRun) initLog(ctx context.Context) (last error) {
	for range 200 {
		last = r.cluster.Client.Init()
		if last == nil || errors.As(last, new(*fleet.RejectedError)) {
			return last
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return last
		}
	}
	return last
}

// settings returns the fleet settings of the test.
func (r *rolloutRun) settings() rollout.Settings {
	budget := rollout.Budget{Max: maxUnavailable, ZoneMax: maxUnavailableInZone}
	settings := rollout.Defaults()
	settings.FrontEnds, settings.Rollback = budget, budget
	settings.Engines = rollout.Budget{Max: maxUnavailableEngines}
	settings.ReturnTimeout = 25 * time.Second
	settings.CrashLoop = 4
	settings.Analyzer.MinRequests = 200
	settings.Analyzer.Dispersion = 1 // the failures in this test are independent
	if r.options.Policy == policyUnjudged {
		settings.Analyzer.Alpha = 1e-300
	}
	return settings
}

// waitAssembled waits until the leader reports all members as serving and knows all engines.
func (r *rolloutRun) waitAssembled(ctx context.Context) error {
	for range 400 {
		if r.assembled() {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.New("faulttest: the leader did not report all members as serving and all engines within 20 s")
}

// assembled reports whether the leader knows all control replicas, all engines, and all members as serving.
func (r *rolloutRun) assembled() bool {
	status := r.leaderStatus()
	if status == nil || len(status.Servers) != controlReplicas {
		return false
	}
	serving := 0
	for _, m := range status.State.Members {
		if m.Phase == rollout.Serving && !m.Suspected {
			serving++
		}
	}
	return serving == r.options.FrontEnds && len(status.State.Engines) == r.options.Engines
}
