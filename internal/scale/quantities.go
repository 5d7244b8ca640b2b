package scale

import (
	"fmt"
	"math"
	"strings"

	"beechcart/internal/scale/record"
)

// Samples returns the measurements of a run, under the quantity names from which docs/CAPACITY.md is rendered.
func (r *Result) Samples(repeat int) []record.Sample {
	size := record.Size{Members: r.Scale.Members, Engines: r.Scale.Engines}
	var samples []record.Sample
	add := func(role record.Role, quantity string, value float64) {
		samples = append(samples, record.Sample{Quantity: quantity, Role: role, Size: size, Repeat: repeat, Value: value})
	}
	m, c := r.PerMember, r.Control
	add(record.FrontEnd, "member_sent_bytes_per_second", m.SentBytesPerSecond)
	add(record.FrontEnd, "member_received_bytes_per_second", m.ReceivedBytesPerSecond)
	add(record.FrontEnd, "member_gossip_sent_bytes_per_second", m.GossipSentBytesPerSecond)
	add(record.FrontEnd, "member_gossip_received_bytes_per_second", m.GossipReceivedBytesPerSecond)
	add(record.FrontEnd, "member_calls_sent_bytes_per_second", m.CallsSentBytesPerSecond)
	add(record.FrontEnd, "member_calls_received_bytes_per_second", m.CallsReceivedBytesPerSecond)
	add(record.FrontEnd, "member_cpu_cores", m.CPUShare)
	add(record.FrontEnd, "member_heap_bytes", m.HeapBytes)
	add(record.FrontEnd, "member_messages_per_second", m.MessagesPerSecond)
	add(record.ControlReplica, "replica_cpu_cores_max", c.CPUShareMax)
	add(record.ControlReplica, "replica_resident_bytes_max", c.ResidentBytesMax)
	add(record.ControlReplica, "replica_log_bytes_per_second_max", c.LogBytesPerSecond)
	add(record.ControlReplica, "replica_calls_bytes_per_second_max", c.CallsBytesPerSecondMax)
	add(record.ControlReplica, "replica_messages_per_second_max", c.MessagesPerSecondMax)
	if r.Changes.Made > r.Changes.Lost {
		add(record.FrontEnd, "drain_in_force_p50_seconds", r.InForce.P50)
		add(record.FrontEnd, "drain_in_force_p99_seconds", r.InForce.P99)
		add(record.FrontEnd, "drain_in_force_max_seconds", r.InForce.Max)
	}
	if len(r.PrimaryChange.Each) > 0 {
		add(record.ControlReplica, "primary_change_max_seconds", r.PrimaryChange.Max)
	}
	add(record.FrontEnd, "formation_seconds", r.Formation.Seconds)
	add(record.FrontEnd, "formation_unknown_members", float64(r.Formation.Unknown))
	add(record.FrontEnd, "heard_least_members", float64(r.Formation.HeardLeast))
	add(record.FrontEnd, "changes_made_count", float64(r.Changes.Made))
	add(record.FrontEnd, "changes_lost_count", float64(r.Changes.Lost))
	add(record.FrontEnd, "changes_reverted_count", float64(r.Changes.Reverted))
	for _, f := range r.Faults {
		r.addFault(f, add)
	}
	return samples
}

// faultPrefix returns the prefix of the names of a fault's quantities. For pauses it contains the share of members that
// were paused.
func (r *Result) faultPrefix(f FaultResult) string {
	if f.Name == "pause" {
		return fmt.Sprintf("storm_share_%d_percent", int(math.Round(100*float64(f.Members)/float64(r.Scale.Members))))
	}
	return "fault_" + strings.ReplaceAll(f.Name, "-", "_")
}

func (r *Result) addFault(f FaultResult, add func(record.Role, string, float64)) {
	prefix := r.faultPrefix(f)
	least := r.Scale.Members
	for _, h := range f.Heard {
		least = min(least, h.Least)
	}
	add(record.FrontEnd, prefix+"_sent_bytes_per_second", f.After.SentBytesPerSecond)
	add(record.FrontEnd, prefix+"_received_bytes_per_second", f.After.ReceivedBytesPerSecond)
	add(record.FrontEnd, prefix+"_member_cpu_cores", f.After.CPUShare)
	add(record.FrontEnd, prefix+"_heard_least_members", float64(least))
	if !f.DrainLost { // a lost drain has no latency; the page counts the runs without this sample
		add(record.FrontEnd, prefix+"_drain_in_force_seconds", f.DrainInForce)
	}
	if f.QuietAfterSeconds != nil {
		add(record.FrontEnd, prefix+"_quiet_after_seconds", *f.QuietAfterSeconds)
	}
	if f.HeldBack != nil {
		add(record.FrontEnd, prefix+"_held_back_members", float64(*f.HeldBack))
	}
	if f.Notice != nil && f.Notice.MaxSeconds != nil { // there is no time to notice unless all members were suspected
		add(record.FrontEnd, "notice_"+noticeQuantities[f.Name]+"_max_seconds", *f.Notice.MaxSeconds)
	}
	if f.CaughtUpSeconds != nil {
		add(record.FrontEnd, prefix+"_caught_up_seconds", *f.CaughtUpSeconds)
	}
}
