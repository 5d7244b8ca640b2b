package admission_test

import (
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"testing"
	"time"

	"beechcart/admission"
	"beechcart/internal/recorded"
)

// The recorded runs check that every decision of a controller is still the recorded one. Each run drives several
// controllers against simulated engines and clients, all drawn from a seed, so that one changed decision changes all
// that follow. The actions are hashed by stable numbers of their types and by the values of their fields in a fixed
// order. Names do not enter the hash, and a Log enters without its text.

// Stable numbers of the action types in the recording.
const (
	actionSend = 1 + iota
	actionTerms
	actionReject
	actionFail
	actionCancel
	actionHealthCheck
	actionCloseIdle
	actionSendGossip
	actionSetTimer
	actionWatchEndpoints
	actionPollEndpoints
	actionLog
	actionTypes
)

// recorder hashes and counts actions, and collects actions of unknown type.
type recorder struct {
	hash    hash.Hash
	counts  [actionTypes]int
	events  int
	buffer  []byte
	unknown []admission.Action
}

func (r *recorder) number(v uint64)          { r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v) }
func (r *recorder) text(s string)            { r.number(uint64(len(s))); r.buffer = append(r.buffer, s...) }
func (r *recorder) duration(d time.Duration) { r.number(uint64(d)) }

func (r *recorder) begin(kind int) {
	r.counts[kind]++
	r.buffer = append(r.buffer, byte(kind))
}

func (r *recorder) record(frontEnd int, now time.Duration, action admission.Action) {
	r.buffer = r.buffer[:0]
	r.number(uint64(frontEnd))
	r.duration(now)
	if !r.ofRequest(action) && !r.ofFrontEnd(action) {
		r.unknown = append(r.unknown, action)
	}
	r.hash.Write(r.buffer)
}

// ofRequest encodes an action on a request. It returns false for any other action.
func (r *recorder) ofRequest(action admission.Action) bool {
	switch a := action.(type) {
	case admission.Send:
		r.begin(actionSend)
		r.text(a.ID)
		r.number(uint64(a.Engine))
		r.duration(a.Timeout)
	case admission.Terms:
		r.begin(actionTerms)
		r.text(a.ID)
		r.number(uint64(a.Priority))
		r.number(math.Float64bits(a.GrantMB))
	case admission.Reject:
		r.begin(actionReject)
		r.text(a.ID)
		r.duration(a.RetryAfter)
	case admission.Fail:
		r.begin(actionFail)
		r.text(a.ID)
	case admission.Cancel:
		r.begin(actionCancel)
		r.text(a.ID)
		r.number(uint64(a.Attempt))
	default:
		return false
	}
	return true
}

// ofFrontEnd encodes an action that belongs to no request. It returns false for any other action.
func (r *recorder) ofFrontEnd(action admission.Action) bool {
	switch a := action.(type) {
	case admission.HealthCheck:
		r.begin(actionHealthCheck)
		r.number(uint64(a.Engine))
	case admission.CloseIdle:
		r.begin(actionCloseIdle)
		r.number(uint64(a.Engine))
	case admission.SendGossip:
		r.begin(actionSendGossip)
		r.number(uint64(a.To))
		r.text(string(a.Data))
	case admission.SetTimer:
		r.begin(actionSetTimer)
		r.duration(a.Delay)
		r.number(a.Token)
	case admission.WatchEndpoints:
		r.begin(actionWatchEndpoints)
		r.number(map[bool]uint64{true: 1}[a.On])
	case admission.PollEndpoints:
		r.begin(actionPollEndpoints)
	case admission.Log:
		r.begin(actionLog)
	default:
		return false
	}
	return true
}

// String returns the content of the recording: the counts and the hash.
func (r *recorder) String() string {
	return fmt.Sprintf("events %d\nactions %v\nsha256 %x\n", r.events, r.counts[1:], r.hash.Sum(nil))
}

func allReported(m *machine) *admission.Report {
	return &admission.Report{InFlight: m.threads, Queued: math.Max(0, m.threads-2*m.cores),
		Utilization:       m.threads / m.cores,
		MemoryUtilization: m.memory / 8192, DiskUtilization: 0.1}
}

func inFlightReported(m *machine) *admission.Report {
	return &admission.Report{InFlight: m.threads, Queued: -1, Utilization: -1, MemoryUtilization: -1, DiskUtilization: -1}
}

func utilizationReported(m *machine) *admission.Report {
	return &admission.Report{InFlight: -1, Queued: -1, Utilization: m.threads / m.cores, MemoryUtilization: -1,
		DiskUtilization: math.Min(1, m.threads/40)}
}

// recordedClasses returns classes that together use each field of a class.
func recordedClasses() []admission.Class {
	return []admission.Class{
		{LatencyObjective: 200 * time.Millisecond, ObjectivePerWork: 1.5, Deadline: 2 * time.Second, PriorityWeight: 1,
			Threads: 1},
		{LatencyObjective: 500 * time.Millisecond, ObjectivePerWork: 2, Deadline: 4 * time.Second, PriorityWeight: 3,
			LateWeight: 0.4, Threads: 2,
			Idempotency: admission.IdempotentWithKey, DeduplicationScope: admission.ScopeZone,
			DeduplicationWindow: 1500 * time.Millisecond, Ordered: true},
		{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 6, LateWeight: 0.2, Threads: 2,
			Idempotency: admission.NonIdempotent,
			OnlyZones:   []int{0, 1}},
		{LatencyObjective: 2 * time.Second, ObjectivePerWork: 1, Deadline: 8 * time.Second, PriorityWeight: 9,
			LateWeight: 0.5, Threads: 4,
			Stream: true, OnlyKinds: []int{0, 1}},
		{LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 2, Threads: 1,
			LocksTables: true},
		{LatencyObjective: 400 * time.Millisecond, ObjectivePerWork: 3, Deadline: 3 * time.Second, PriorityWeight: 2,
			Threads: 1, WaitsForLocks: true,
			Idempotency: admission.IdempotentWithKey, DeduplicationScope: admission.ScopeCell,
			DeduplicationWindow: 3 * time.Second},
		{LatencyObjective: 600 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 2, LateWeight: 0.6,
			Threads: 1, Ordered: true,
			Idempotency: admission.IdempotentWithKey, DeduplicationScope: admission.ScopeAll,
			DeduplicationWindow: 2 * time.Second},
	}
}

func recordedSettings() admission.Settings {
	return admission.Settings{
		Replicas: 1, Zone: 0, Zones: 2,
		Kinds:   []admission.Kind{{Cores: 8, MemoryMB: 8192}, {Cores: 4, MemoryMB: 4096}},
		Classes: recordedClasses(),
		Tenants: []admission.Tenant{{Quota: 0.5, RequestsPerSecond: 60}, {Quota: 0.3, RequestsPerSecond: 25}, {Quota: 0.2}},

		OverQuotaWeight: 0.2, LoadReporting: admission.InBandReports, GrantsSupported: true, PrioritiesSupported: true,
		CostReported:     true,
		ProgressInterval: 60 * time.Millisecond, MemoryShortage: admission.WaitForMemory, MaxGrantFraction: 0.5,
		CancellationAllowed: true,
		HealthChecksAllowed: true,
		MaxAttempts:         3, MaxRetryAfter: time.Second,
		DeadlineSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		KeyCooldown: 300 * time.Millisecond,
		SlowStart: admission.SlowStart{
			InitialCapacity: 0.3, Duration: 5 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		},
	}
}

// recordedRuns returns the runs by the names of their recordings. Together the runs use each field of the settings.
func recordedRuns() map[string]recordedRun {
	alone := recordedSettings()
	alone.RetriesMarked = true

	gossiping := recordedSettings()
	gossiping.Replicas, gossiping.Zone = 12, 1
	gossiping.LoadReporting, gossiping.GossipAllowed, gossiping.HealthCheckCost = admission.HealthCheckReports, true, 0.05
	gossiping.RetryBudget = &admission.RetryBudget{MinRetries: 3, Ratio: 0.1, Window: 5 * time.Second}
	gossiping.Classes = gossiping.Classes[:4] // no locks on tables
	gossiping.GrantsSupported, gossiping.MemoryShortage, gossiping.ProgressInterval = false, admission.SpillToDisk, 0

	ring := recordedSettings()
	ring.Replicas, ring.Zone = 14, -1
	ring.PollDiscovery, ring.PollInterval = true, 2*time.Second
	ring.LoadReporting = admission.HealthCheckReports
	ring.Tenants = []admission.Tenant{{Quota: 0.6, RequestsPerSecond: 600}, {Quota: 0.4, RequestsPerSecond: 100}}

	noReports := recordedSettings()
	noReports.Replicas, noReports.LoadReporting, noReports.Tenants = 2, admission.NoLoadReports, nil
	noReports.PrioritiesSupported, noReports.CancellationAllowed, noReports.HedgingAllowed,
		noReports.MaxAttempts = false, false, true, 2
	noReports.MemoryShortage, noReports.MaxRetryAfter, noReports.SlowStart.OverloadMultiple = admission.Overcommit, 0, 0
	noReports.ProgressInterval = 0

	return map[string]recordedRun{
		"alone": {settings: alone, frontEnds: 1, engines: 7, length: 16 * time.Second, gap: 16 * time.Millisecond,
			report: allReported, tellsWork: true},
		"gossip": {settings: gossiping, frontEnds: 2, engines: 9, length: 12 * time.Second, gap: 25 * time.Millisecond,
			report: utilizationReported, tellsWork: true, partial: true, stopping: true},
		"ring": {settings: ring, frontEnds: 3, engines: 11, length: 9 * time.Second, gap: 30 * time.Millisecond,
			report: inFlightReported, tellsWork: true, listErrors: true, stopping: true, flood: true},
		"no-reports": {settings: noReports, frontEnds: 2, engines: 6, length: 16 * time.Second,
			gap: 25 * time.Millisecond, partial: true, listAfter: 50 * time.Millisecond},
		"long": {settings: alone, frontEnds: 1, engines: 3, length: 250 * time.Second, gap: 800 * time.Millisecond,
			report: allReported},
	}
}

func TestDecisionsMatchTheRecordings(t *testing.T) {
	for name, run := range recordedRuns() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorded.Compare(t, name+".txt", []byte(play(t, run, 11)+play(t, run, 12)))
		})
	}
}
