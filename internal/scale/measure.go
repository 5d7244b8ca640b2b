package scale

import (
	"time"
)

// rates are the differences of a host's counters over a time, a second.
type rates struct {
	seconds             float64
	gossip, calls       trafficRate
	served, log         trafficRate // of replicas
	cpu                 float64     // of a core
	heap, resident      float64     // the mean of the reports, bytes
	members, heardLeast int
}

// trafficRate is Traffic a second.
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

// ratesOf is what reports tell of the time between the first and the last of them; false where they are fewer than two.
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

// costs are what a window of time cost.
type costs struct {
	member   MemberCost
	control  ControlCost
	harness  HarnessProcess
	cpuCores float64 // of all hosts
}

// costsBetween sums up what the hosts have reported of the time between. Hosts that were started again within it are
// left out.
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
			c.control.take(one)
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

func (c *ControlCost) take(r rates) {
	c.CPUShareMax = max(c.CPUShareMax, r.cpu)
	c.ResidentBytesMax = max(c.ResidentBytesMax, r.resident)
	c.LogBytesPerSecond = max(c.LogBytesPerSecond, r.log.bytes())
	c.CallsBytesPerSecondMax = max(c.CallsBytesPerSecondMax, r.calls.bytes()+r.served.bytes())
	c.MessagesPerSecondMax = max(c.MessagesPerSecondMax,
		r.gossip.messages+r.calls.messages+r.served.messages+r.log.messages)
}

// fleetState is what the last reports of all hosts tell together.
type fleetState struct {
	members, known int // known by the log, as hosts that have reported tell
	silent         int // hosts that have not reported
	heardLeast     int // among members of hosts that have reported
	heardMean      float64
}

// complete tells whether all hosts have reported, all members are known, and all hear of all.
func (s fleetState) complete(members int) bool {
	return s.silent == 0 && s.known == s.members && s.heardLeast >= members
}

// observe sums the last reports up.
func (r *run) observe() fleetState { return r.observeSince(time.Time{}) }

// observeSince sums up the last reports that were made after a time.
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
