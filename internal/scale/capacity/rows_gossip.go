package capacity

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"

	"beechcart/internal/scale/record"
)

// The delays until a front end that has ended counts as suspected. Gossip keeps a suspicion for SuspicionMult x
// log10(members) x ProbeInterval (suspicionTimeout of memberlist). The leader then enters the front end in the control
// log as suspected once the front end has not been alive for suspicionTimeout of internal/fleet.
var (
	suspicionDuration = Factor{"s that a suspicion stands (3 x log10 of 710 x 0.3 s)", 3 * math.Log10(planMembers) * 0.3}
	leaderCheckDelay  = Factor{"s until the leader enters it", 0.7}
)

func gossipRows() []Row {
	return []Row{
		{Label: "front ends that each one hears of, the least", Unit: Count, Mechanism: byGossip, Budget: hearsAll,
			Terms: least("heard_least_members")},
		{Label: "time until all are known and hear of all, from a common start", Unit: Seconds, Mechanism: byGossip,
			Terms: worst("formation_seconds")},
		{Label: "front ends not known by then", Unit: Count, Mechanism: byGossip, Terms: worst("formation_unknown_members")},
		{Label: "a dead front end counts as out, at the least", Unit: Seconds, Mechanism: bySuspicion,
			Budget: Budget{Limit: noticeSeconds, Source: byProject}, Terms: append(arithmetic(suspicionDuration),
				arithmetic(leaderCheckDelay)...)},
		{Label: "a dead front end is noticed", Unit: Seconds, Mechanism: bySuspicion, Budget: Budget{Limit: noticeSeconds,
			Source: byProject},
			Terms: worst("notice_dead_max_seconds")},
		{Label: "a stopped front end is noticed", Unit: Seconds, Mechanism: bySuspicion,
			Terms: worst("notice_stopped_max_seconds")},
		{Label: "a one-way link is noticed", Unit: Seconds, Mechanism: bySuspicion,
			Terms: worst("notice_one_way_max_seconds")},
	}
}

// stormQuantity matches the quantities that a run records for a pause of a share of the front ends.
var stormQuantity = regexp.MustCompile(`^storm_share_([0-9]+)_percent_`)

// assumedShare is the share in percent for which rows are shown while no share has been recorded.
const assumedShare = 10

// stormRows returns rows for each share of front ends whose pause was recorded.
func stormRows(recordings []record.Recording) (rows []Row) {
	shares := []int{}
	for _, r := range recordings {
		for _, s := range r.Samples {
			if found := stormQuantity.FindStringSubmatch(s.Quantity); found != nil {
				share, _ := strconv.Atoi(found[1])
				shares = append(shares, share)
			}
		}
	}
	slices.Sort(shares)
	shares = slices.Compact(shares)
	if len(shares) == 0 {
		shares = append(shares, assumedShare)
	}
	for _, share := range shares {
		name := fmt.Sprintf("%d%% of the front ends stand still for a moment", share)
		rows = append(rows, afterRows(name, fmt.Sprintf("storm_share_%d_percent", share))...)
	}
	return rows
}

// afterRows returns the rows of the time after a fault.
func afterRows(name, prefix string) []Row {
	return []Row{
		{Label: name + ": control traffic in the 5 s after, sent and received", Unit: BytesPerSecond, Mechanism: byMember,
			Budget: bytesBudget,
			Terms:  append(worst(prefix+"_sent_bytes_per_second"), worst(prefix+"_received_bytes_per_second")...)},
		{Label: name + ": processor time of control in the 5 s after", Unit: Cores, Mechanism: byMember, Budget: coresBudget,
			Terms: worst(prefix + "_member_cpu_cores")},
		{Label: name + ": front ends that each one hears of in the minute after, the least", Unit: Count, Mechanism: byGossip,
			Terms: least(prefix + "_heard_least_members")},
		{Label: name + ": time until all hear of all again", Unit: Seconds, Mechanism: byGossip,
			Terms: one(Term{Quantity: prefix + "_quiet_after_seconds", Stat: Worst,
				RunMarker: prefix + "_heard_least_members"})},
	}
}
