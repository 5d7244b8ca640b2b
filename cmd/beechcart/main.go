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
	reportEvery = 30 * time.Second
	sweepEvery  = time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "beechcart:", err)
		os.Exit(1)
	}
}

func run() error {
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
		ConnectTimeout: cfg.ConnectTimeout, ConnIdle: cfg.ConnIdle, Sockets: cfg.Sockets / 2,
		Counters: counters,
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
	go follow(ctx, cfg, fleet, changes, plan, log)
	go report(ctx, fleet, counters, log)

	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	served := make(chan error, 1)
	go func() { served <- front.Serve(cfg.Listen) }()
	select {
	case err := <-served:
		return err
	case sig := <-term:
		log.Info("stopping", "signal", sig.String())
	}
	time.Sleep(lameDuck)
	if err := front.Shutdown(ctx); err != nil {
		return err
	}
	log.Info("stopped", "counters", counters.String())
	return nil
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

// follow keeps the engine list up to date.
func follow(ctx context.Context, cfg *settings.Config, f *engine.Fleet, changes *roster.Log, p *planner.Planner, log *slog.Logger) {
	f.Changes(ctx, cfg.ChangeLog, changes.Seq(), func(text []byte) (int64, error) {
		lists, err := changes.Read(text)
		for _, l := range lists {
			logList(log, l)
			p.Members(l)
		}
		return changes.Seq(), err
	}, func(err error) {
		if err != nil {
			log.Warn("change log lost", "error", err)
		} else {
			log.Info("change log back")
		}
	})
}

// report logs the counters now and then, and closes what has been idle for too long.
func report(ctx context.Context, f *engine.Fleet, counters *invariant.Counters, log *slog.Logger) {
	sweep, tell := time.NewTicker(sweepEvery), time.NewTicker(reportEvery)
	defer sweep.Stop()
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			f.Sweep()
		case <-tell.C:
			log.Info("counters", "counters", counters.String())
		}
	}
}
