package scale

import (
	"time"
)

// rates are the increases of a host's counters over a window, each per second.
type rates struct {
	seconds             float64
	gossip, calls       trafficRate
	served, log         trafficRate // at control replicas
	cpu                 float64     // in cores
	heap, resident      float64     // means of the reports, in bytes
	members, heardLeast int
}

// trafficRate is the increase of [Traffic] per second.
type trafficRate struct{ sent, received, messages, connections float64 }

func (t trafficRate) bytes() float64 { return t.sent + t.received }

func (t *trafficRate) add(o trafficRate) {
	t.sent, t.received, t.messages, t.connections = t.sent+o.sent, t.received+o.received, t.messages+o.messages,
		t.connections+o.connections
}

func trafficBetween(first, last Traffic, seconds float64) trafficRate {
	rate := func(from, to uint64) float64 { return (float64(to) - float64(from)) / seconds }
	return trafficRate{rate(first.SentBytes, last.SentBytes), rate(first.ReceivedBytes, last.ReceivedBytes),
		rate(first.SentMessages, last.SentMessages), rate(first.Connections, last.Connections)}
}

// ratesOf returns the rates between the first and the last report. It returns false if there are fewer than two reports
// or no time between them.
func ratesOf(reports []HostReport) (rates, bool) {
	if len(reports) < 2 {
		return rates{}, false
	}
	first, last := reports[0], reports[len(reports)-1]
	seconds := time.Duration(last.UnixNanos - first.UnixNanos).Seconds()
	if seconds <= 0 {
		return rates{}, false
	}
	r := rates{seconds: seconds, members: last.Members, heardLeast: last.HeardLeast,
		cpu:    (last.CPUSeconds - first.CPUSeconds) / seconds,
		gossip: trafficBetween(first.Gossip, last.Gossip, seconds), calls: trafficBetween(first.Calls, last.Calls, seconds),
		served: trafficBetween(first.Served, last.Served, seconds), log: trafficBetween(first.Log, last.Log, seconds)}
	for _, one := range reports {
		r.heap += float64(one.HeapBytes) / float64(len(reports))
		r.resident += float64(one.ResidentBytes) / float64(len(reports))
	}
	return r, true
}

// costs is the resource use of the fleet in a window of time.
type costs struct {
	member   MemberCost
	control  ControlCost
	harness  HarnessProcess
	cpuCores float64 // of all hosts
}

// costsBetween sums up the hosts' reports of a window. Hosts with fewer than two reports from it, such as hosts that
// were restarted near its end, are left out.
func (r *run) costsBetween(from, to time.Time) costs {
	var c costs
	if idle, ok := ratesOf(r.idle.between(from, to)); ok {
		c.harness = HarnessProcess{CPUShare: idle.cpu, HeapBytes: idle.heap}
	}
	var gossip, calls trafficRate
	var cpu, heap float64
	members := 0
	for _, h := range r.hosts {
		one, ok := ratesOf(h.between(from, to))
		if !ok {
			continue
		}
		c.cpuCores += one.cpu
		if h.plan.replica {
			c.control.addMax(one)
			continue
		}
		members += one.members
		gossip.add(one.gossip)
		calls.add(one.calls)
		cpu += one.cpu - c.harness.CPUShare
		heap += one.heap - c.harness.HeapBytes
	}
	if members == 0 {
		return c
	}
	n := float64(members)
	c.member = MemberCost{SentBytesPerSecond: (gossip.sent + calls.sent) / n,
		ReceivedBytesPerSecond: (gossip.received + calls.received) / n,
		CPUShare:               cpu / n, HeapBytes: heap / n, GossipSentBytesPerSecond: gossip.sent / n,
		GossipReceivedBytesPerSecond: gossip.received / n,
		CallsSentBytesPerSecond:      calls.sent / n, CallsReceivedBytesPerSecond: calls.received / n,
		MessagesPerSecond:    (gossip.messages + calls.messages) / n,
		ConnectionsPerSecond: (gossip.connections + calls.connections) / n}
	return c
}

func (c *ControlCost) addMax(r rates) {
	c.CPUShareMax = max(c.CPUShareMax, r.cpu)
	c.ResidentBytesMax = max(c.ResidentBytesMax, r.resident)
	c.LogBytesPerSecond = max(c.LogBytesPerSecond, r.log.bytes())
	c.CallsBytesPerSecondMax = max(c.CallsBytesPerSecondMax, r.calls.bytes()+r.served.bytes())
	c.MessagesPerSecondMax = max(c.MessagesPerSecondMax,
		r.gossip.messages+r.calls.messages+r.served.messages+r.log.messages)
}

// fleetState summarizes the latest reports of all hosts.
type fleetState struct {
	members, known int // known: registered with the control log, according to the reports
	silent         int // hosts without a report
	heardLeast     int // lowest number of members that a member of a reporting host hears of
	heardMean      float64
}

// complete reports whether all hosts have reported, the control log knows all members, and each member hears of all.
func (s fleetState) complete(members int) bool {
	return s.silent == 0 && s.known == s.members && s.heardLeast >= members
}

// observe summarizes the latest reports.
func (r *run) observe() fleetState { return r.observeSince(time.Time{}) }

// observeSince summarizes the latest reports, and counts hosts without a report since after as silent.
func (r *run) observeSince(after time.Time) fleetState {
	s := fleetState{heardLeast: r.options.Members}
	reported := 0
	for _, h := range r.hosts {
		s.members += len(h.plan.members)
		report, ok := h.latest()
		if !ok || (!after.IsZero() && report.UnixNanos < after.UnixNano()) {
			s.silent++
			continue
		}
		reported += report.Members
		s.known += report.Known
		s.heardLeast = min(s.heardLeast, report.HeardLeast)
		s.heardMean += report.HeardMean * float64(report.Members)
	}
	s.heardMean /= float64(max(reported, 1))
	return s
}
