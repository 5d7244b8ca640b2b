package faulttest

import (
	"fmt"
	"strconv"
	"time"

	"beechcart/internal/fake/consul"
	"beechcart/internal/fake/engine"
)

// serviceName is the name that the engines are registered under.
const serviceName = "engine"

// The capacity of each fake engine.
const (
	engineCores      = 4
	engineMaxQueries = 64
)

var engineClasses = map[string]engine.Class{
	"lookup": {Work: 20 * time.Millisecond, Threads: 1},
	"report": {Work: 200 * time.Millisecond, Threads: 2, Pages: 2, Rows: 3},
	"load":   {Work: 300 * time.Millisecond, Threads: 2},
}

// testEngine is one engine in the catalogue, which runs one process after another. The mutex of catalogueRun guards the
// fields after fake.
type testEngine struct {
	name    string
	process int // number of the current process, from 1
	fake    *engine.Engine

	claimed  bool // by a fault injector
	failing  bool // its check in the catalogue is critical
	draining bool // under maintenance in the catalogue
}

// node returns the name of the engine's node in the catalogue.
func (e *testEngine) node() string { return "n-" + e.name }

// check returns the id of the engine's check in the catalogue.
func (e *testEngine) check() string { return "service:" + e.name }

func (r *catalogueRun) startProcess(e *testEngine) error {
	fake, err := engine.Start("127.0.0.1:0", engine.Options{
		Name: e.name, Cores: engineCores, MaxQueries: engineMaxQueries, Classes: engineClasses,
	})
	if err != nil {
		return fmt.Errorf("faulttest: %w", err)
	}
	e.process++
	e.fake = fake
	return nil
}

// register writes the current state of an engine to the catalogue.
func (r *catalogueRun) register(e *testEngine) {
	status := checkPassing
	if e.failing {
		status = checkCritical
	}
	r.consul.Register(
		consul.Node{Node: e.node(), Address: e.fake.Host()},
		consul.Service{
			ID: e.name, Service: serviceName, Port: e.fake.Port(),
			Meta: map[string]string{"zone": "room-a", "kind": "std-4", "start": strconv.Itoa(e.process)},
		},
		consul.Check{CheckID: e.check(), Status: status},
	)
}

// The states of an engine's check in the catalogue.
const (
	checkPassing  = "passing"
	checkCritical = "critical"
)

// setCheck records the state of an engine's check and writes it to the catalogue.
func (r *catalogueRun) setCheck(e *testEngine, status string) {
	r.mu.Lock()
	e.failing = status != checkPassing
	r.mu.Unlock()
	r.markWritten(e)
	r.writeCheck(e, status)
}

// writeCheck writes the state of an engine's check to the catalogue.
func (r *catalogueRun) writeCheck(e *testEngine, status string) {
	r.consul.SetStatus(e.node(), e.check(), status, "")
}

// markWritten records the current time as the time of a change of an engine in the catalogue.
func (r *catalogueRun) markWritten(e *testEngine) {
	r.mu.Lock()
	r.writtenAt[e.name] = time.Now()
	r.mu.Unlock()
}

func (r *catalogueRun) drain(e *testEngine) {
	r.mu.Lock()
	e.draining = true
	r.mu.Unlock()
	r.markWritten(e)
	r.consul.SetMaintenance(e.node(), e.name, consul.Maintenance{Enabled: true, Reason: "fault test"})
}

func (r *catalogueRun) undrain(e *testEngine) {
	r.mu.Lock()
	e.draining = false
	r.mu.Unlock()
	r.drains.Cancelled(e.name, time.Now())
	r.markWritten(e)
	r.consul.SetMaintenance(e.node(), e.name, consul.Maintenance{})
}

// kill kills the process of an engine.
func (r *catalogueRun) kill(e *testEngine) {
	e.fake.Kill()
	r.mu.Lock()
	r.killed = append(r.killed, e.fake)
	r.mu.Unlock()
}

// restart starts a new process of an engine and registers it as passing.
func (r *catalogueRun) restart(e *testEngine) {
	if err := r.startProcess(e); err != nil {
		r.options.logf("%v", err)
		return
	}
	r.mu.Lock()
	e.failing = false
	r.mu.Unlock()
	r.register(e)
}

// executions returns the executions of all engine processes, with those that were killed. The caller must hold mu.
func (r *catalogueRun) executions() (executions []engine.Execution) {
	for _, e := range r.engines {
		executions = append(executions, e.fake.Executions()...)
	}
	for _, fake := range r.killed {
		executions = append(executions, fake.Executions()...)
	}
	return executions
}
