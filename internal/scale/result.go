package scale

import (
	"fmt"
	"time"
)

// The budgets of a run.
const (
	BudgetBytesPerSecond       = 4096     // of a member, sent and received bytes added
	BudgetCPUShare             = 0.013    // of a member, in cores
	BudgetHeapBytes            = 64 << 20 // heap of the control side of a front end
	BudgetInForceSeconds       = 4.0      // until a change is in force everywhere
	BudgetPrimaryChangeSeconds = 6.0
)

// InForceOf names the kind of change that in_force_seconds and primary_change_seconds measure. No mechanism distributes
// a configuration to the members yet; the drain of a database is a change that reaches every member.
const InForceOf = "engine drain"

// Sizes are the numbers of members, databases and replicas of a run.
type Sizes struct {
	Members   int `json:"members"`
	Real      int `json:"real"`
	Simulated int `json:"hollow"` // simulated members, including the control replicas
	Engines   int `json:"engines"`
	Control   int `json:"control"`
}

// MemberCost is the mean cost of a simulated member that is not a control replica, in the quiet window. The CPU time
// and heap of the harness, measured at a host process without members, are subtracted.
type MemberCost struct {
	SentBytesPerSecond           float64 `json:"sent_bytes_per_second"`
	ReceivedBytesPerSecond       float64 `json:"received_bytes_per_second"`
	CPUShare                     float64 `json:"cpu_share"` // of a core
	HeapBytes                    float64 `json:"heap_bytes"`
	GossipSentBytesPerSecond     float64 `json:"gossip_sent_bytes_per_second"`
	GossipReceivedBytesPerSecond float64 `json:"gossip_received_bytes_per_second"`
	CallsSentBytesPerSecond      float64 `json:"calls_sent_bytes_per_second"`
	CallsReceivedBytesPerSecond  float64 `json:"calls_received_bytes_per_second"`
	MessagesPerSecond            float64 `json:"messages_per_second"` // sent
	ConnectionsPerSecond         float64 `json:"connections_per_second"`
}

// ControlCost holds the highest value among the control replicas, for each quantity separately, in the quiet window.
type ControlCost struct {
	CPUShareMax            float64 `json:"cpu_share_max"`
	ResidentBytesMax       float64 `json:"resident_bytes_max"`
	LogBytesPerSecond      float64 `json:"log_bytes_per_second"`       // between replicas, sent and received bytes
	CallsBytesPerSecondMax float64 `json:"calls_bytes_per_second_max"` // calls made and served, sent and received bytes
	MessagesPerSecondMax   float64 `json:"messages_per_second_max"`    // sent
}

// Percentiles are taken over all live members and all changes, in seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// PrimaryChange holds the times of several kills of the leader, in seconds.
type PrimaryChange struct {
	Max  float64   `json:"max"` // from the kill until a drain accepted after it is in force at every live member
	Each []float64 `json:"each"`
}

// Changes counts drains of databases.
type Changes struct {
	Made     int `json:"made"`
	Lost     int `json:"lost"`     // drains not in force at every live member within Options.ChangeWithin
	Reverted int `json:"reverted"` // members at which a drain ended before it was undone
}

// Formation describes how the fleet formed.
type Formation struct {
	Seconds float64 `json:"seconds"` // from the first start until the membership was complete, or the time limit
	Unknown int     `json:"unknown"` // simulated members that were not registered with the control log by then
	// lowest number of members that a member heard of, at the end of the quiet window
	HeardLeast int `json:"heard_least"`
}

// Machine is the use of the machine by the run.
type Machine struct {
	Processes     int     `json:"processes"`
	ResidentBytes uint64  `json:"resident_bytes"` // of all processes, including the runner with its fake servers
	CPUCores      float64 `json:"cpu_cores"`      // of all hosts, in the quiet window
}

// Miss is a value over its budget.
type Miss struct {
	Quantity string  `json:"quantity"`
	Found    float64 `json:"found"`
	Allowed  float64 `json:"allowed"`
}

func (m Miss) String() string {
	return fmt.Sprintf("%s: found %.6g, allowed is up to %.6g", m.Quantity, m.Found, m.Allowed)
}

// Result is the result of a run.
type Result struct {
	Scale         Sizes          `json:"scale"`
	Seed          uint64         `json:"seed"`
	Passed        bool           `json:"passed"`
	PerMember     MemberCost     `json:"per_member"`
	Control       ControlCost    `json:"control"`
	InForceOf     string         `json:"in_force_of"`
	InForce       Percentiles    `json:"in_force_seconds"`
	PrimaryChange PrimaryChange  `json:"primary_change_seconds"`
	Changes       Changes        `json:"changes"`
	Formation     Formation      `json:"formation"`
	Machine       Machine        `json:"machine"`
	Faults        []FaultResult  `json:"faults,omitempty"`
	Missed        []Miss         `json:"missed,omitempty"`
	At            time.Time      `json:"at"`
	QuietSeconds  float64        `json:"quiet_seconds"` // length of the window in which costs were measured
	Harness       HarnessProcess `json:"harness"`
}

// HarnessProcess is the cost of a host process without members.
type HarnessProcess struct {
	CPUShare  float64 `json:"cpu_share"`
	HeapBytes float64 `json:"heap_bytes"`
}

// judge compares the result with the budgets and sets Missed and Passed.
func (r *Result) judge() {
	r.Missed = nil
	hold := func(quantity string, found, allowed float64) {
		if found > allowed {
			r.Missed = append(r.Missed, Miss{quantity, found, allowed})
		}
	}
	hold("per_member.sent_and_received_bytes_per_second",
		r.PerMember.SentBytesPerSecond+r.PerMember.ReceivedBytesPerSecond, BudgetBytesPerSecond)
	hold("per_member.cpu_share", r.PerMember.CPUShare, BudgetCPUShare)
	hold("per_member.heap_bytes", r.PerMember.HeapBytes, BudgetHeapBytes)
	hold("in_force_seconds.max", r.InForce.Max, BudgetInForceSeconds)
	hold("primary_change_seconds.max", r.PrimaryChange.Max, BudgetPrimaryChangeSeconds)
	hold("changes.lost", float64(r.Changes.Lost), 0)
	hold("changes.reverted", float64(r.Changes.Reverted), 0)
	hold("formation.unknown", float64(r.Formation.Unknown), 0)
	hold("machine.resident_bytes", float64(r.Machine.ResidentBytes), MaxMemory)
	hold("machine.processes", float64(r.Machine.Processes), MaxProcesses)
	r.Passed = len(r.Missed) == 0
}
