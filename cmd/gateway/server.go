package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"beechcart/admission"
	"beechcart/internal/admin"
	"beechcart/internal/copycount"
	"beechcart/internal/dispatch"
	"beechcart/internal/endpoints"
	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/membudget"
	"beechcart/internal/mysql"
	"beechcart/internal/operatorconfig"
	"beechcart/internal/platformconfig"
	"beechcart/internal/processstats"
	"beechcart/internal/source"
)

const (
	// drainingPeriod is how long the listener stays open after SIGTERM: the platform still sends new requests for up to
	// 0.6 s.
	drainingPeriod = 850 * time.Millisecond

	// The time from SIGTERM until the platform kills the process is the longest deadline of a class, capped at
	// maxDeadline, plus killDelay.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// All requests must be answered killMargin before the kill, so that there is time to send the last answers. Within
	// killMargin, sessions of clients that do not read their answers stay open for at most sessionMargin.
	killMargin    = 300 * time.Millisecond
	sessionMargin = 150 * time.Millisecond

	counterLogInterval = 30 * time.Second
)

// Divisors that set the shares of the process's memory for large requests of clients, for rows of results, and for
// large responses of engines.
const (
	requestMemoryDivisor  = 8
	resultMemoryDivisor   = 8
	responseMemoryDivisor = 16
)

// server holds the components of a front end, from the start to the shutdown of the process.
type server struct {
	config     configuration
	log        *slog.Logger
	counters   *invariant.Counters
	dispatcher *dispatch.Dispatcher // owns the admission controller
	engines    *engine.Client
	listener   *mysql.Server
	endpoints  *endpointFollower
	member     membership
	memory     *memoryMonitor

	ctx     context.Context // cancelled by close
	closers []func()        // in the order of the starts
}

// signals holds the channels of the signals that the process handles.
type signals struct{ stop, reload chan os.Signal }

// notifySignals starts to receive signals. Stop and reload signals have separate channels, because a full channel
// drops signals: many reloads must not displace a stop.
func notifySignals() signals {
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may close its end
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// run serves until a stop signal arrives or the fleet grants a shutdown.
func run(paths *configPaths) error {
	received := notifySignals()
	config, err := paths.load()
	if err != nil {
		return err
	}
	counters := &invariant.Counters{}
	output := newLogWriter(os.Stderr, counters)
	defer output.flush()
	limitResources(config.platform)
	log := newLogger(output, config.operators.Log).With("node", config.platform.Name)
	s, err := newServer(paths, config, counters, log)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	request, err := s.serve(received)
	if request == nil {
		return err
	}
	if err := s.shutDown(); err != nil {
		return err
	}
	if request.exitCode != 0 {
		return exitError(request.exitCode)
	}
	return nil
}

// limitResources sets GOMAXPROCS to the configured cores, and the memory limit of the Go runtime to 70 % of the
// configured memory.
func limitResources(config *platformconfig.Config) {
	runtime.GOMAXPROCS(max(1, int(config.Cores)))
	debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * 7 / 10)
}

// newServer creates and connects the components. No component runs before start.
func newServer(
	paths *configPaths,
	config configuration,
	counters *invariant.Counters,
	log *slog.Logger,
) (*server, error) {
	s := &server{config: config, counters: counters, log: log}
	platform, operators := config.platform, config.operators
	controller, err := admission.New(platform.Admission, platform.Seed)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	s.memory = &memoryMonitor{
		limitMB:   platform.MemoryMB,
		requests:  membudget.New(platform.MemoryMB * bytesPerMegabyte / requestMemoryDivisor),
		results:   membudget.New(platform.MemoryMB * bytesPerMegabyte / resultMemoryDivisor),
		responses: membudget.New(platform.MemoryMB * bytesPerMegabyte / responseMemoryDivisor),
		sessions:  func() int { return s.listener.Sessions() },
		log:       log,
	}
	s.dispatcher = dispatch.New(controller, platform.Admission.Classes, counters, log)
	reuse, err := operators.ReusePolicy(platform.HandshakePrice, platform.Descriptors)
	if err != nil {
		return nil, err
	}
	s.engines = engine.New(engine.Options{
		ConnectTimeout: platform.ConnectTimeout,
		DrainGrace:     platform.Admission.DrainGrace,
		Sockets:        platform.Descriptors / 2,
		Counters:       counters,
		Classes:        platform.Admission.Classes,
		MayDelete:      platform.Admission.CancellationAllowed,
		MayCheckHealth: platform.Admission.HealthChecksAllowed,
		Reuse:          reuse,
		Results:        s.memory.results,
		Responses:      s.memory.responses,
		FreeResults:    func() { s.listener.CloseSlowReader() },
		AwaitInput:     func(began time.Time) { s.listener.AwaitInput(began) },
	}, s.dispatcher)
	s.listener = mysql.New(mysql.Options{
		Names:       platform.Names,
		MaxSessions: operators.Clients.SessionLimit(platform.Descriptors),
		IdleTimeout: operators.Clients.IdleTimeout,
		Input:       s.memory.requests,
		Counters:    counters,
		Log:         log,
	}, s.dispatcher)
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx = ctx
	s.closers = append(s.closers, cancel)
	if err := s.newEndpoints(paths); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// newEndpoints creates the endpoint follower. If the source is the change log, newEndpoints also publishes the
// endpoint lists that result from the events under "known" in the platform's configuration.
func (s *server) newEndpoints(paths *configPaths) error {
	platform, operators := s.config.platform, s.config.operators
	changeLog := endpoints.NewChangeLog(platform.Names)
	var known []endpoints.List
	if len(platform.KnownEvents) > 0 && operators.Source == operatorconfig.SourceChangeLog {
		var err error
		if known, err = changeLog.Read(platform.KnownEvents); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	feed := source.NewFeed(s.ctx, s.dispatcher.EndpointsChanged, operators.Consul.Membership.Linger, s.log)
	s.endpoints = &endpointFollower{
		paths: paths, engines: s.engines, changeLog: changeLog, feed: feed, log: s.log, counters: s.counters,
	}
	for _, list := range known {
		feed.Publish(list)
	}
	return nil
}

// start starts all background work. close stops the work that was started, also after an error of start.
func (s *server) start() error {
	stop := make(chan struct{})
	s.closers = append(s.closers, func() { close(stop) })
	go s.dispatcher.Run(s.engines, stop)
	if err := s.endpoints.follow(s.config); err != nil {
		return err
	}
	s.closers = append(s.closers, s.endpoints.stop)
	if err := s.openAdminSocket(); err != nil {
		return err
	}
	var err error
	s.member, err = joinFleet(s.config, s.endpoints.feed, s.engines, s.counters, s.log)
	if err != nil {
		return err
	}
	err = processstats.Open(func(stats *processstats.Stats) {
		stats.Counters, stats.Copies = s.counters.Map(), copycount.Counts()
	})
	if err != nil {
		return err
	}
	go logCounters(s.ctx, s.counters, s.memory, s.log)
	go s.memory.run(s.ctx)
	return nil
}

// close calls the closers in reverse order.
func (s *server) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// openAdminSocket opens the socket that gatewayctl connects to, if the operators' settings name one.
func (s *server) openAdminSocket() error {
	path := s.config.operators.AdminSocket
	if path == "" {
		return nil
	}
	socket, err := admin.Listen(path, map[string]admin.Command{
		"list":     func() (any, error) { return s.endpoints.feed.Statuses(), nil },
		"counters": func() (any, error) { return s.counters.Map(), nil },
	})
	if err != nil {
		return err
	}
	s.closers = append(s.closers, socket.Close)
	s.log.Info("admin socket", "path", path)
	return nil
}

// shutdownRequest is a request for an orderly shutdown. The exit code is 0 after a signal.
type shutdownRequest struct{ exitCode int }

// serve accepts clients until a shutdown is requested or the listener fails. The request is nil if the listener fails.
func (s *server) serve(received signals) (*shutdownRequest, error) {
	served := make(chan error, 1)
	go func() { served <- s.listener.Serve(s.config.platform.Listen) }()
	s.member.ReportServing()
	for {
		select {
		case err := <-served:
			return nil, err
		case <-received.reload:
			s.endpoints.reload()
		case sig := <-received.stop:
			s.log.Info("stopping", "signal", sig.String())
			return &shutdownRequest{}, nil
		case code := <-s.member.ShutdownGrants():
			s.log.Info("stopping", "exit", code)
			return &shutdownRequest{exitCode: code}, nil
		}
	}
}

// shutDown waits for the requests in flight to end, and closes all sessions.
func (s *server) shutDown() error {
	s.member.ReportDraining()
	timeout := shutdownTimeout(s.config.platform.Admission.Classes)
	s.dispatcher.Shutdown(timeout)
	// When ctx expires, all requests are answered. In a session that is left, the client has sent an incomplete packet or
	// does not read its answers.
	ctx, cancel := context.WithTimeout(s.ctx, timeout+sessionMargin)
	defer cancel()
	time.Sleep(min(drainingPeriod, timeout))
	if err := s.listener.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		s.log.Warn("sessions left", "after", timeout+sessionMargin)
	} else if err != nil {
		return err
	}
	s.member.Close()
	s.log.Info("stopped", append(s.memory.usage(), "counters", s.counters.String())...)
	return nil
}

// shutdownTimeout returns the time after SIGTERM within which the last request must be answered.
func shutdownTimeout(classes []admission.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDeadline) + killDelay - killMargin
}

// logCounters logs the counters and the memory every counterLogInterval until ctx is cancelled.
func logCounters(ctx context.Context, counters *invariant.Counters, memory *memoryMonitor, log *slog.Logger) {
	ticker := time.NewTicker(counterLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			log.Info("counters", append(memory.usage(), "counters", counters.String())...)
		}
	}
}
