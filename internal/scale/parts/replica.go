package parts

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
	"beechcart/internal/scale/record"
)

const (
	commandCalls   = 40              // commands in sequence, over which the cost of one is averaged
	statusCalls    = 20              // status requests in sequence, over which the cost of one is averaged
	parallelCalls  = 32              // calls in flight while many commands are applied
	countsInterval = 2 * time.Second // window of a front end's request counts, each reported once
	watchesTimeout = 30 * time.Second
	settleTime     = 500 * time.Millisecond // lets work that was started earlier end before a measurement
)

// measureReplica measures one control replica in a separate process, with one open watch per front end.
func measureReplica(ctx context.Context, o *Options, c *collector) error {
	c.note("one replica, a process of its own: fleet.OpenReplica with disk, no membership and no leader's periodic " +
		"check; its clients are in the measuring process")
	c.note("all front ends watch this one replica; where they are spread over n replicas, each has 1/n of the watches," +
		" and each recomputes its own at each command")
	c.note("bytes are those of the HTTP streams, both directions, without headers of IP and TCP")
	return o.forEachSize(ctx, c, record.ControlReplica, func(p sizeRun) error { return measureReplicaAt(ctx, o, p) })
}

func measureReplicaAt(ctx context.Context, o *Options, p sizeRun) error {
	process, err := startReplica(ctx, o.ReplicaArgs)
	if err != nil {
		return err
	}
	defer process.stop()
	r := &replicaClient{process: process, run: p, window: o.Window}
	r.operator = r.traffic.client(parallelCalls)
	defer r.operator.CloseIdleConnections()
	if err := r.applyAll(ctx, fillCommands(p.size)); err != nil {
		return err
	}
	p.add("control_replica_resident_bytes", residentBytes(process.pid()))
	if err := errors.Join(r.measureStatus(ctx, "idle"), r.measureCommands(ctx, "alone")); err != nil {
		return err
	}
	if err := r.measureCounts(ctx); err != nil {
		return err
	}
	return r.measureWatches(ctx)
}

// replicaClient calls a replica and measures what the calls cost.
type replicaClient struct {
	process  *replicaProcess
	run      sizeRun
	window   time.Duration
	traffic  byteCounter // bytes of all calls except watches
	operator *http.Client
}

// call makes one call, a POST if body is not nil, and decodes the response's value into result if that is not nil. It
// returns the length of the response body in bytes.
func (r *replicaClient) call(ctx context.Context, client *http.Client, path string, body any, result any) (int, error) {
	method, content := http.MethodGet, []byte(nil)
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return 0, err
		}
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.process.config.Calls+path,
		bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Key", r.process.config.Key)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: found status %d, expected 200: %s", path, response.StatusCode, text)
	}
	var answer struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	if result != nil {
		err = json.Unmarshal(answer.Value, result)
	}
	return len(text), err
}

// apply applies a command. A rejected command is an error.
func (r *replicaClient) apply(ctx context.Context, command rollout.Command) (result rollout.Result, err error) {
	if _, err = r.call(ctx, r.operator, "/apply", command, &result); err == nil && result.Rejected != nil {
		err = result.Rejected
	}
	return result, err
}

// applyAll applies commands in any order, up to parallelCalls at the same time. Each worker reports its first error.
func (r *replicaClient) applyAll(ctx context.Context, commands []rollout.Command) error {
	next := make(chan rollout.Command)
	workerErrors := make(chan error, parallelCalls)
	var workers sync.WaitGroup
	for range parallelCalls {
		workers.Go(func() {
			var first error
			for command := range next {
				if _, err := r.apply(ctx, command); err != nil && first == nil {
					first = err
				}
			}
			workerErrors <- first
		})
	}
	for _, command := range commands {
		next <- command
	}
	close(next)
	workers.Wait()
	close(workerErrors)
	var all error
	for err := range workerErrors {
		all = errors.Join(all, err)
	}
	return all
}

// measureStatus measures an operator's request for the whole state.
func (r *replicaClient) measureStatus(ctx context.Context, name string) error {
	startCPU, size := processCPU(r.process.pid()), 0
	for range statusCalls {
		var err error
		if size, err = r.call(ctx, r.operator, "/status", nil, nil); err != nil {
			return err
		}
	}
	r.run.add("status_"+name+"_bytes", float64(size))
	r.run.add("status_"+name+"_cpu_seconds", (processCPU(r.process.pid())-startCPU)/statusCalls)
	return nil
}

// measureCommands measures commands that change nothing, one after the other.
func (r *replicaClient) measureCommands(ctx context.Context, name string) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	startCPU, startTime := processCPU(r.process.pid()), time.Now()
	for range commandCalls {
		if _, err := r.apply(ctx, rollout.Command{Tick: &struct{}{}}); err != nil {
			return err
		}
	}
	elapsed := time.Since(startTime)
	if err := pause(ctx, settleTime); err != nil { // work that the last command has triggered
		return err
	}
	r.run.add("control_command_"+name+"_cpu_seconds", (processCPU(r.process.pid())-startCPU)/commandCalls)
	r.run.add("control_command_"+name+"_latency_seconds", elapsed.Seconds()/commandCalls)
	return nil
}

// measureCounts measures one report of request counts from each front end. A serving front end sends such a report in
// every window of countsInterval.
func (r *replicaClient) measureCounts(ctx context.Context) error {
	bytesBefore, startCPU := r.traffic.bytes(), processCPU(r.process.pid())
	for i := range r.run.size.Members {
		report := fleet.WindowCounts{Name: memberName(i), Zone: zoneName(i), Revision: revision,
			Window: time.Now().UnixNano() / int64(countsInterval),
			Load:   PlannedRate,
			Counts: rollout.RequestCounts{Requests: int64(PlannedRate * countsInterval.Seconds()), Rejected: 3, Slow: 12}}
		if _, err := r.call(ctx, r.operator, "/counts", report, nil); err != nil {
			return err
		}
	}
	count := float64(r.run.size.Members)
	r.run.add("counts_report_cpu_seconds", (processCPU(r.process.pid())-startCPU)/count)
	r.run.withRole(record.FrontEnd).add("counts_bytes_per_second",
		(r.traffic.bytes()-bytesBefore)/count/countsInterval.Seconds())
	return nil
}

// measureWatches opens a watch for each front end. It measures the cost of the watches while nothing changes, during
// commands, and during the drain of a database.
func (r *replicaClient) measureWatches(ctx context.Context) error {
	watches, err := r.openWatches(ctx)
	if err != nil {
		return err
	}
	defer watches.close()
	pid, members := r.process.pid(), float64(r.run.size.Members)
	r.run.add("control_replica_watched_resident_bytes", residentBytes(pid))
	bytesBefore, startCPU, startTime := watches.traffic.bytes(), processCPU(pid), time.Now()
	if err := pause(ctx, r.window); err != nil {
		return err
	}
	seconds := time.Since(startTime).Seconds()
	r.run.add("idle_watches_cpu_cores", (processCPU(pid)-startCPU)/seconds)
	r.run.withRole(record.FrontEnd).add("idle_watch_bytes_per_second",
		(watches.traffic.bytes()-bytesBefore)/members/seconds)
	if err := r.measureCommands(ctx, "watched"); err != nil {
		return err
	}
	if err := r.measureDrain(ctx, watches); err != nil {
		return err
	}
	if _, err := r.apply(ctx, releaseCommand()); err != nil {
		return err
	}
	if err := r.measureCommands(ctx, "busy"); err != nil {
		return err
	}
	if err := r.measureStatus(ctx, "busy"); err != nil {
		return err
	}
	return watches.failure()
}

// measureDrain measures the drain of a database: each front end receives the drain by its watch and reports that it
// has no work at the database.
func (r *replicaClient) measureDrain(ctx context.Context, watches *watches) error {
	pid := r.process.pid()
	bytesBefore, startCPU, startTime := watches.traffic.bytes(), processCPU(pid), time.Now()
	drained, err := r.apply(ctx, drainCommand())
	if err != nil {
		return err
	}
	var commands []rollout.Command
	for i := range r.run.size.Members {
		commands = append(commands, drainedCommand(i, drained.Permit))
	}
	if err := r.applyAll(ctx, commands); err != nil {
		return err
	}
	elapsed := time.Since(startTime)
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	r.run.add("database_drain_cpu_seconds", processCPU(pid)-startCPU)
	r.run.add("database_drain_duration_seconds", elapsed.Seconds())
	r.run.add("database_drain_watch_bytes", watches.traffic.bytes()-bytesBefore)
	return nil
}

// watches holds one open watch per front end, each on its own connection.
type watches struct {
	traffic  byteCounter
	client   *http.Client
	cancel   context.CancelFunc
	done     sync.WaitGroup
	answered atomic.Int64 // watches that have received their first response

	mu       sync.Mutex
	firstErr error
}

// openWatches returns once each watch has received its first response, or an error after watchesTimeout.
func (r *replicaClient) openWatches(ctx context.Context) (*watches, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watches{cancel: cancel}
	w.client = w.traffic.client(r.run.size.Members)
	for i := range r.run.size.Members {
		w.done.Go(func() { w.follow(ctx, r, memberName(i)) })
	}
	for end := time.Now().Add(watchesTimeout); int(w.answered.Load()) < r.run.size.Members; {
		if time.Now().After(end) || w.failure() != nil {
			w.close()
			return nil, fmt.Errorf("watches: found %d of %d answered, expected all: %w", w.answered.Load(), r.run.size.Members,
				errors.Join(w.failure(), ctx.Err()))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return w, pause(ctx, settleTime)
}

// follow repeats one front end's watch request until ctx ends or a call fails, as a front end does.
func (w *watches) follow(ctx context.Context, r *replicaClient, name string) {
	for have := ""; ctx.Err() == nil; {
		var answer struct {
			Have string `json:"have"`
		}
		query := url.Values{"name": {name}, "have": {have}}
		if _, err := r.call(ctx, w.client, "/watch?"+query.Encode(), nil, &answer); err != nil {
			w.fail(ctx, err)
			return
		}
		if have == "" {
			w.answered.Add(1)
		}
		have = answer.Have
	}
}

func (w *watches) fail(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil && w.firstErr == nil {
		w.firstErr = err
	}
}

// failure returns the first error of a watch, or nil.
func (w *watches) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstErr
}

func (w *watches) close() {
	w.cancel()
	w.done.Wait()
	w.client.CloseIdleConnections()
}
