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
	commandCalls   = 40 // commands, one after the other, that give the cost of one
	statusCalls    = 20
	parallelCalls  = 32              // commands at once, where many are entered
	countsEvery    = 2 * time.Second // a member's report of its counts
	watchersWithin = 30 * time.Second
	settle         = 500 * time.Millisecond // for what was started to come to rest
)

// measureReplica measures one control replica as a process, with as many watches open as there are front ends.
func measureReplica(ctx context.Context, o *Options, c *collector) error {
	c.note("one replica, a process of its own: fleet.OpenReplica with disk, no membership and no leader's periodic " +
		"check; its clients are in the measuring process")
	c.note("all front ends watch this one replica; where they are spread over n replicas, each has 1/n of the watches," +
		" and each recomputes its own at each command")
	c.note("bytes are those of the HTTP streams, both directions, without headers of IP and TCP")
	return o.each(ctx, c, record.ControlReplica, func(p sizeRun) error { return measureReplicaAt(ctx, o, p) })
}

func measureReplicaAt(ctx context.Context, o *Options, p sizeRun) error {
	process, err := startReplica(ctx, o.ReplicaArgs)
	if err != nil {
		return err
	}
	defer process.stop()
	r := &replicaClient{process: process, place: p, window: o.Window}
	r.operator = r.wire.client(parallelCalls)
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

// replicaClient makes calls to a replica and counts what they cost.
type replicaClient struct {
	process  *replicaProcess
	place    sizeRun
	window   time.Duration
	wire     byteCounter // of the operator's and the members' calls except watches
	operator *http.Client
}

// call makes one call and returns the bytes of the answer's value.
func (r *replicaClient) call(ctx context.Context, client *http.Client, path string, body any, into any) (int, error) {
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
		return 0, fmt.Errorf("%s: status %d: %s", path, response.StatusCode, text)
	}
	var answer struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	if into != nil {
		err = json.Unmarshal(answer.Value, into)
	}
	return len(text), err
}

// apply enters a command; a refusal is an error.
func (r *replicaClient) apply(ctx context.Context, command rollout.Command) (result rollout.Result, err error) {
	if _, err = r.call(ctx, r.operator, "/apply", command, &result); err == nil && result.Rejected != nil {
		err = result.Rejected
	}
	return result, err
}

// applyAll enters commands, some at once, in no order.
func (r *replicaClient) applyAll(ctx context.Context, commands []rollout.Command) error {
	next := make(chan rollout.Command)
	failed := make(chan error, parallelCalls)
	var workers sync.WaitGroup
	for range parallelCalls {
		workers.Go(func() {
			var first error
			for command := range next {
				if _, err := r.apply(ctx, command); err != nil && first == nil {
					first = err
				}
			}
			failed <- first
		})
	}
	for _, command := range commands {
		next <- command
	}
	close(next)
	workers.Wait()
	close(failed)
	var all error
	for err := range failed {
		all = errors.Join(all, err)
	}
	return all
}

// measureStatus measures an operator's question for the whole state.
func (r *replicaClient) measureStatus(ctx context.Context, name string) error {
	began, size := processCPU(r.process.pid()), 0
	for range statusCalls {
		var err error
		if size, err = r.call(ctx, r.operator, "/status", nil, nil); err != nil {
			return err
		}
	}
	r.place.add("status_"+name+"_bytes", float64(size))
	r.place.add("status_"+name+"_cpu_seconds", (processCPU(r.process.pid())-began)/statusCalls)
	return nil
}

// measureCommands measures commands that change nothing, one after the other.
func (r *replicaClient) measureCommands(ctx context.Context, name string) error {
	if err := pause(ctx, settle); err != nil {
		return err
	}
	began, from := processCPU(r.process.pid()), time.Now()
	for range commandCalls {
		if _, err := r.apply(ctx, rollout.Command{Tick: &struct{}{}}); err != nil {
			return err
		}
	}
	took := time.Since(from)
	if err := pause(ctx, settle); err != nil { // what the last command has woken
		return err
	}
	r.place.add("control_command_"+name+"_cpu_seconds", (processCPU(r.process.pid())-began)/commandCalls)
	r.place.add("control_command_"+name+"_latency_seconds", took.Seconds()/commandCalls)
	return nil
}

// measureCounts measures the report of its counts that each serving front end makes in each window.
func (r *replicaClient) measureCounts(ctx context.Context) error {
	before, began := r.wire.bytes(), processCPU(r.process.pid())
	for i := range r.place.size.Members {
		report := fleet.WindowCounts{Name: memberName(i), Zone: zoneName(i), Revision: revision,
			Window: time.Now().UnixNano() / int64(countsEvery),
			Load:   PlannedRate, Counts: rollout.RequestCounts{Requests: int64(PlannedRate * countsEvery.Seconds()), Rejected: 3,
				Slow: 12}}
		if _, err := r.call(ctx, r.operator, "/counts", report, nil); err != nil {
			return err
		}
	}
	count := float64(r.place.size.Members)
	r.place.add("counts_report_cpu_seconds", (processCPU(r.process.pid())-began)/count)
	r.place.as(record.FrontEnd).add("counts_bytes_per_second", (r.wire.bytes()-before)/count/countsEvery.Seconds())
	return nil
}

// measureWatches opens a watch for each front end and measures what they cost while nothing happens, at commands, and
// at the drain of a database.
func (r *replicaClient) measureWatches(ctx context.Context) error {
	watches, err := r.openWatches(ctx)
	if err != nil {
		return err
	}
	defer watches.close()
	pid, members := r.process.pid(), float64(r.place.size.Members)
	r.place.add("control_replica_watched_resident_bytes", residentBytes(pid))
	bytesBefore, began, from := watches.wire.bytes(), processCPU(pid), time.Now()
	if err := pause(ctx, r.window); err != nil {
		return err
	}
	seconds := time.Since(from).Seconds()
	r.place.add("idle_watches_cpu_cores", (processCPU(pid)-began)/seconds)
	r.place.as(record.FrontEnd).add("idle_watch_bytes_per_second", (watches.wire.bytes()-bytesBefore)/members/seconds)
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

// measureDrain drains a database: each front end sees the drain, and reports that nothing of its own is there.
func (r *replicaClient) measureDrain(ctx context.Context, watches *watches) error {
	pid := r.process.pid()
	bytesBefore, began, from := watches.wire.bytes(), processCPU(pid), time.Now()
	drained, err := r.apply(ctx, drainCommand())
	if err != nil {
		return err
	}
	var commands []rollout.Command
	for i := range r.place.size.Members {
		commands = append(commands, drainedCommand(i, drained.Permit))
	}
	if err := r.applyAll(ctx, commands); err != nil {
		return err
	}
	took := time.Since(from)
	if err := pause(ctx, settle); err != nil {
		return err
	}
	r.place.add("database_drain_cpu_seconds", processCPU(pid)-began)
	r.place.add("database_drain_duration_seconds", took.Seconds())
	r.place.add("database_drain_watch_bytes", watches.wire.bytes()-bytesBefore)
	return nil
}

// watches are open watches, one for each front end, each on a connection of its own.
type watches struct {
	wire   byteCounter
	client *http.Client
	cancel context.CancelFunc
	done   sync.WaitGroup
	ready  atomic.Int64 // that have had an answer

	mu    sync.Mutex
	first error
}

// openWatches returns once each watch has had its first answer.
func (r *replicaClient) openWatches(ctx context.Context) (*watches, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watches{cancel: cancel}
	w.client = w.wire.client(r.place.size.Members)
	for i := range r.place.size.Members {
		w.done.Go(func() { w.follow(ctx, r, memberName(i)) })
	}
	for end := time.Now().Add(watchersWithin); int(w.ready.Load()) < r.place.size.Members; {
		if time.Now().After(end) || w.failure() != nil {
			w.close()
			return nil, fmt.Errorf("%d of %d watches answered: %w", w.ready.Load(), r.place.size.Members,
				errors.Join(w.failure(), ctx.Err()))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return w, pause(ctx, settle)
}

// follow asks for one front end's view again and again, as a member does.
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
			w.ready.Add(1)
		}
		have = answer.Have
	}
}

func (w *watches) fail(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil && w.first == nil {
		w.first = err
	}
}

// failure is the first error of a watch; nil for none.
func (w *watches) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

func (w *watches) close() {
	w.cancel()
	w.done.Wait()
	w.client.CloseIdleConnections()
}
