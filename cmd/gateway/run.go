package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"beechcart/admission"
	"beechcart/internal/admin"
	"beechcart/internal/copycount"
	"beechcart/internal/dispatch"
	"beechcart/internal/endpoints"
	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/mysql"
	"beechcart/internal/operatorconfig"
	"beechcart/internal/platformconfig"
	"beechcart/internal/processstats"
	"beechcart/internal/source"
	"beechcart/internal/source/changelog"
	"beechcart/internal/source/consul"
	"beechcart/internal/source/endpointcache"
)

const (
	lameDuck    = 850 * time.Millisecond // new requests keep coming for up to 0.6 s after SIGTERM
	stopSpare   = 150 * time.Millisecond // for the last answers to go out before the process is killed ...
	leaveSpare  = 100 * time.Millisecond // ... of which sessions that take none have this
	reportEvery = 30 * time.Second
)

// fleetMember is this front end's part in the fleet, where operators have set one.
type fleetMember interface {
	// Goes brings the exit code with which to go out, once.
	Goes() <-chan int
	// Serves, Leaves and Gone say what the process does.
	Serves()
	Leaves()
	Gone()
}

// outside is a member of no fleet.
type outside struct{}

func (outside) Goes() <-chan int { return nil }
func (outside) Serves()          {}
func (outside) Leaves()          {}
func (outside) Gone()            {}

// run serves until a signal, or the fleet, ends it.
func run(f *files) error {
	signal.Ignore(syscall.SIGPIPE) // guards against ending because who reads the log has gone
	// Guards against a stop that is lost behind many reloads: what does not fit into a channel is dropped.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, ops, err := f.load()
	if err != nil {
		return err
	}
	ctl, err := admission.New(cfg.Admission, cfg.Seed)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	changes := endpoints.NewChangeLog(cfg.Names)
	var known []endpoints.List
	if len(cfg.Known) > 0 && ops.Source == operatorconfig.ChangeLog {
		if known, err = changes.Read(cfg.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	counters := &invariant.Counters{}
	out := newLines(os.Stderr, counters)
	defer out.flush()
	log := newLog(out, ops.Log).With("node", cfg.Name)
	if err := fit(cfg, out); err != nil {
		return err
	}
	plan := dispatch.New(ctl, cfg.Admission.Classes, counters, log)
	trust, err := ops.Connections(cfg.HandshakePrice, cfg.Sockets)
	if err != nil {
		return err
	}
	fleet := engine.New(engine.Options{
		ConnectTimeout: cfg.ConnectTimeout, DrainGrace: cfg.Admission.DrainGrace, Sockets: cfg.Sockets / 2, Counters: counters,
		Classes: cfg.Admission.Classes, MayDelete: cfg.Admission.CancellationAllowed, Reuse: trust,
	}, plan)
	front, err := mysql.New(mysql.Options{
		Names: cfg.Names, MaxSessions: ops.Clients.Sessions(cfg.Sockets), IdleTimeout: ops.Clients.Idle, Counters: counters, Log: log,
	}, plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	list := &list{
		files: f, fleet: fleet, changes: changes, log: log, counters: counters,
		feed: source.NewFeed(ctx, plan.EndpointsChanged, ops.Consul.Membership.Linger, log),
	}
	for _, l := range known {
		list.feed.Publish(l)
	}
	stop := make(chan struct{})
	defer close(stop)
	go plan.Run(fleet, stop)
	if err := list.follow(cfg, ops); err != nil {
		return err
	}
	defer list.stop()
	if ops.AdminSocket != "" {
		socket, err := admin.Listen(ops.AdminSocket, map[string]admin.Command{
			"list":     func() (any, error) { return list.feed.Statuses(), nil },
			"counters": func() (any, error) { return counters.Map(), nil },
		})
		if err != nil {
			return err
		}
		defer socket.Close()
		log.Info("admin socket", "path", ops.AdminSocket)
	}
	member, err := joinFleet(cfg, ops, list.feed, fleet, counters, log)
	if err != nil {
		return err
	}
	if err := processstats.Open(func(f *processstats.Figures) { f.Counters, f.Copies = counters.Map(), copycount.Counts() }); err != nil {
		return err
	}
	go report(ctx, counters, log)

	served := make(chan error, 1)
	go func() { served <- front.Serve(cfg.Listen) }()
	member.Serves()
	code := 0
	for stopping := false; !stopping; {
		select {
		case err := <-served:
			return err
		case <-reloads:
			list.reload()
		case sig := <-ends:
			stopping = true
			log.Info("stopping", "signal", sig.String())
		case code = <-member.Goes():
			stopping = true
			log.Info("stopping", "exit", code)
		}
	}
	member.Leaves()
	within := stopWithin(cfg.Admission.Classes)
	plan.Shutdown(within)
	// Guards against sessions that hold the end up: half a packet, a client that reads nothing. Nothing is owed to them by then.
	leave, done := context.WithTimeout(ctx, within+leaveSpare)
	defer done()
	time.Sleep(min(lameDuck, within))
	if err := front.Shutdown(leave); errors.Is(err, context.DeadlineExceeded) {
		log.Warn("sessions left", "after", within+leaveSpare)
	} else if err != nil {
		return err
	}
	member.Gone()
	log.Info("stopped", "counters", counters.String())
	if code != 0 {
		return exitWith(code)
	}
	return nil
}

func newLog(w io.Writer, l operatorconfig.Log) *slog.Logger {
	opt := &slog.HandlerOptions{Level: l.Level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}

// stopWithin is how long after SIGTERM all must be answered. The platform kills the process once the longest
// deadline, taken as 3 s at most, and 0.7 s have passed.
func stopWithin(classes []admission.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond - stopSpare
}

// fit sizes the run time to the machine that the front end has.
func fit(cfg *platformconfig.Config, log io.Writer) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 7 / 10)
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log})
}

// list keeps the engine list up to date, from one source at a time.
type list struct {
	files    *files
	fleet    *engine.Client
	changes  *endpoints.ChangeLog
	feed     *source.Feed
	log      *slog.Logger
	counters *invariant.Counters

	ops    operatorconfig.Settings // in force
	consul *consul.Source          // nil: the change log is followed
	store  *endpointcache.Store
}

// newSource makes the catalogue that the settings name; nil where they name the change log.
func newSource(cfg *platformconfig.Config, ops operatorconfig.Settings, store consul.Store, counters *invariant.Counters, log *slog.Logger) (*consul.Source, error) {
	if ops.Source != operatorconfig.Consul {
		return nil, nil
	}
	return consul.New(ops.Consul, cfg.Names, store, counters, log, cfg.Seed)
}

// follow moves to the source that the settings name. An error changes nothing.
func (l *list) follow(cfg *platformconfig.Config, ops operatorconfig.Settings) error {
	var store *endpointcache.Store
	var keep consul.Store // stays nil where nothing is kept
	if ops.LastGood.Path != "" && ops.Source == operatorconfig.Consul {
		store = endpointcache.New(ops.LastGood.Path, ops.LastGood.WriteEvery, ops.LastGood.MaxAge, l.log)
		keep = store
	}
	src, err := newSource(cfg, ops, keep, l.counters, l.log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	was := l.ops.Source
	switch {
	case src == nil:
		// The events of the change log are numbered on; after another source its first event is asked for again.
		if was == operatorconfig.Consul {
			l.changes = endpoints.NewChangeLog(cfg.Names)
		}
		l.feed.Follow(changelog.New(l.fleet, cfg.ChangeLog, l.changes, l.log), was != operatorconfig.Consul)
	case l.consul != nil:
		src.Inherit(l.consul)
		l.feed.Follow(src, true)
	default:
		l.feed.Follow(src, false)
	}
	if l.store != nil {
		l.store.Flush()
	}
	l.ops, l.consul, l.store = ops, src, store
	return nil
}

// stop ends the source, and keeps what it believed.
func (l *list) stop() {
	l.feed.Stop()
	if l.store != nil {
		l.store.Flush()
	}
}

// reload reads both files again. Guards against files that are bad or half written: what was in force stays. The
// source of the engine list is all that can change while the program runs.
func (l *list) reload() {
	cfg, ops, err := l.files.load()
	if err == nil && ops.Source == operatorconfig.Consul && l.consul != nil && reflect.DeepEqual(ops, l.ops) {
		l.log.Info("reloaded", "source", ops.Source, "changed", false)
		return
	}
	if err == nil {
		err = l.follow(cfg, ops)
	}
	if err != nil {
		l.log.Error("reload failed", "error", err)
		return
	}
	if ops.Source == operatorconfig.Consul {
		l.log.Info("reloaded", "source", ops.Source, "addresses", ops.Consul.Addresses)
		return
	}
	l.log.Info("reloaded", "changelog", cfg.ChangeLog)
}

// report logs the counters now and then.
func report(ctx context.Context, counters *invariant.Counters, log *slog.Logger) {
	tell := time.NewTicker(reportEvery)
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tell.C:
			log.Info("counters", "counters", counters.String())
		}
	}
}
