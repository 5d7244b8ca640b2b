// Command beechcart is a real front end: it takes queries over the MySQL protocol and runs them on engines.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"beechcart/admission"
	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/mysql"
	"beechcart/internal/planner"
	"beechcart/internal/roster"
	"beechcart/internal/settings"
)

const (
	lameDuck    = 850 * time.Millisecond // new requests keep coming for up to 0.6 s after SIGTERM
	stopSpare   = 150 * time.Millisecond // for the last answers to go out before the process is killed
	reportEvery = 30 * time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "beechcart:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := settings.Load(os.Getenv("PROXY_CONFIG"), os.Getenv)
	if err != nil {
		return err
	}
	ctl, err := admission.New(cfg.Admission, cfg.Seed)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	changes := roster.NewLog(cfg.Names)
	var known []roster.List
	if len(cfg.Known) > 0 {
		if known, err = changes.Read(cfg.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name)
	if err := fit(cfg); err != nil {
		return err
	}
	counters := &invariant.Counters{}
	plan := planner.New(ctl, cfg.Admission.Classes, counters, log)
	fleet := engine.New(engine.Options{
		ConnectTimeout: cfg.ConnectTimeout, Sockets: cfg.Sockets / 2, Counters: counters,
	}, plan)
	front, err := mysql.New(mysql.Options{
		Names: cfg.Names, Sessions: cfg.Sockets * 2 / 5, Counters: counters, Log: log,
	}, plan)
	if err != nil {
		return err
	}
	for _, l := range known {
		logList(log, l)
		plan.Members(l)
	}
	stop := make(chan struct{})
	defer close(stop)
	go plan.Run(fleet, stop)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	list := &feed{ctx: ctx, fleet: fleet, changes: changes, plan: plan, log: log}
	list.follow(cfg.ChangeLog)
	go report(ctx, counters, log)

	served := make(chan error, 1)
	go func() { served <- front.Serve(cfg.Listen) }()
	for stopping := false; !stopping; {
		select {
		case err := <-served:
			return err
		case sig := <-signals:
			if stopping = sig != syscall.SIGHUP; !stopping {
				list.reload()
				continue
			}
			log.Info("stopping", "signal", sig.String())
		}
	}
	plan.Stop(stopWithin(cfg.Admission.Classes))
	time.Sleep(lameDuck)
	if err := front.Shutdown(ctx); err != nil {
		return err
	}
	log.Info("stopped", "counters", counters.String())
	return nil
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
func fit(cfg *settings.Config) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 7 / 10)
	return netpoll.Configure(netpoll.Config{PollerNum: 1})
}

// logList names the engines of an event, with the numbers that the controller knows them by.
func logList(log *slog.Logger, l roster.List) {
	for _, e := range l.Engines {
		log.Info("engine listed", "engine", e.Name, "id", e.ID, "state", e.State.String(), "address", e.Addr)
	}
}

// feed keeps the engine list up to date, from one change log at a time.
type feed struct {
	ctx     context.Context
	fleet   *engine.Fleet
	changes *roster.Log
	plan    *planner.Planner
	log     *slog.Logger

	lost  bool // polls fail
	leave context.CancelFunc
	left  chan struct{} // closed when the address in hand is polled no more
}

// follow moves to the change log at that address at once. The number of the last event is kept.
func (d *feed) follow(addr string) {
	if d.leave != nil {
		d.leave()
		<-d.left
	}
	ctx, leave := context.WithCancel(d.ctx)
	left := make(chan struct{})
	d.leave, d.left = leave, left
	go func() {
		defer close(left)
		d.fleet.Changes(ctx, addr, d.changes.Seq(), d.take, d.state)
	}()
}

func (d *feed) take(text []byte) (int64, error) {
	lists, err := d.changes.Read(text)
	for _, l := range lists {
		logList(d.log, l)
		d.plan.Members(l)
	}
	return d.changes.Seq(), err
}

func (d *feed) state(err error) {
	switch {
	case err != nil && !d.lost:
		d.log.Warn("change log lost", "error", err)
	case err == nil && d.lost:
		d.log.Info("change log back")
	}
	d.lost = err != nil
}

// reload reads the configuration again. Guards against a file that is bad or half written: what was in force
// stays. The address of the change log is all that can change while the program runs.
func (d *feed) reload() {
	cfg, err := settings.Load(os.Getenv("PROXY_CONFIG"), os.Getenv)
	if err != nil {
		d.log.Error("reload failed", "error", err)
		return
	}
	d.log.Info("reloaded", "changelog", cfg.ChangeLog)
	d.follow(cfg.ChangeLog)
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
