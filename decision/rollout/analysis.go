package rollout

import (
	"fmt"
	"math"
)

// The analysis is a sequential test by betting on the revision of each failure. In one zone and one window, the new
// revision has n1 requests and the previous one n0. Where both fail at the same rate, a failure is on the new revision
// with a probability of p0 = n1/(n1+n0). Where the new revision fails k times as often, the probability is
// q = k p0/(k p0 + 1 - p0). The product of the likelihood ratios of all failures is a martingale while the rates are
// equal, so that its mean over several k ever reaches 1/a with a probability of at most a (Ville's inequality).
// Failures are drawn without replacement, which only makes large values rarer (Hoeffding). Failures that come in bursts
// are not independent: the ratio is raised to the power of 1/Dispersion, which keeps the product a supermartingale as
// long as bursts are of that size. Analyzer.Tolerance multiplies n1, so that the test is against the tolerated rate.

// metrics are the names of the compared counts in the causes of halts, in the order of evidence.
var metrics = [...]string{"failures", "refusals", "slow answers"}

// betFactors are the values of k, as multiples of Analyzer.Tolerance.
var betFactors = [...]float64{1.5, 3, 8, 30}

// evidence holds, by metric and factor, the sum of the logarithms of the likelihood ratios, in units of
// 1/evidenceScale. Integers keep the state the same at all replicas.
type evidence [len(metrics)][len(betFactors)]int64

const evidenceScale = 1e6

// maxRequests bounds the counts of a window, so that sums of them don't overflow.
const maxRequests = 1 << 40

// applyHealth adds one window's counts to the evidence of the active release.
func (m *StateMachine) applyHealth(health *Health) Result {
	release := m.Release
	if !release.active() || release.RollingBack || health.Release != release.Number {
		return reject(NothingToDo, "no release %d is under way", health.Release)
	}
	if health.Window <= release.Window {
		return reject(StaleMessage, "window %d was taken", health.Window)
	}
	for _, zone := range health.Zones {
		if !zone.New.valid() || !zone.Old.valid() {
			return reject(InvalidArgument, "room %s: counts must lie between 0 and the requests", zone.Zone)
		}
	}
	release.Window = health.Window
	for _, zone := range health.Zones {
		release.WaveRequests += zone.New.Requests
		if zone.New.Requests == 0 || zone.Old.Requests == 0 {
			continue // no comparison is possible
		}
		release.New.add(zone.New)
		release.Old.add(zone.Old)
		release.Evidence.add(zone, m.Settings.Analyzer)
	}
	return Result{Release: release.Number}
}

func (c RequestCounts) valid() bool {
	return c.Requests >= 0 && c.Requests < maxRequests &&
		c.Failed >= 0 && c.Rejected >= 0 && c.Slow >= 0 && c.Failed+c.Rejected+c.Slow <= c.Requests
}

// byMetric returns the counts in the order of metrics.
func (c RequestCounts) byMetric() [len(metrics)]int64 {
	return [...]int64{c.Failed, c.Rejected, c.Slow}
}

func (c *RequestCounts) add(other RequestCounts) {
	c.Requests += other.Requests
	c.Failed += other.Failed
	c.Rejected += other.Rejected
	c.Slow += other.Slow
}

// add adds the counts of one zone and window, which must have requests on both revisions.
func (e *evidence) add(zone ZoneCounts, analyzer Analyzer) {
	odds := analyzer.Tolerance * float64(zone.New.Requests) / float64(zone.Old.Requests)
	p := odds / (1 + odds)
	onNew, onOld := zone.New.byMetric(), zone.Old.byMetric()
	for metric := range metrics {
		if onNew[metric]+onOld[metric] == 0 {
			continue
		}
		for i, factor := range betFactors {
			q := factor * odds / (1 + factor*odds)
			logRatio := float64(onNew[metric])*math.Log(q/p) + float64(onOld[metric])*math.Log((1-q)/(1-p))
			e[metric][i] += int64(math.Round(evidenceScale * logRatio / analyzer.Dispersion))
		}
	}
}

// value returns the test statistic of a metric: the mean over betFactors of the product of the likelihood ratios.
func (e *evidence) value(metric int) float64 {
	sum := 0.0
	for _, logRatio := range e[metric] {
		sum += math.Exp(float64(logRatio) / evidenceScale)
	}
	return sum / float64(len(betFactors))
}

// worseMetric returns the cause of a halt where the new revision is worse by a metric; empty where the evidence does
// not show that. The test starts anew with each wave: a long time without a fault lowers the statistic, which would
// delay the detection of a later fault. Alpha is divided among waves and metrics.
func (m *StateMachine) worseMetric(release *Release) string {
	analyzer := m.Settings.Analyzer
	for metric, name := range metrics {
		if release.Evidence.value(metric) >= float64(len(metrics)*len(release.Waves))/analyzer.Alpha {
			return fmt.Sprintf("%s on %s: %d in %d requests, beside %d in %d on %s", name, release.Revision,
				release.New.byMetric()[metric], release.New.Requests,
				release.Old.byMetric()[metric], release.Old.Requests, release.PreviousRevision)
		}
	}
	return ""
}
