package rollout

import (
	"fmt"
	"math"
)

// The judgement bets, at each failure, on where it falls. Of f failures among n1 requests on the new revision and n0 on the
// old, in one room and one window, each falls on the new with a chance of p0 = n1/(n1+n0) where the revisions are alike.
// For a revision k times worse it is q = k p0/(k p0 + 1 - p0). The product of the likelihood ratios is a fair game while
// they are alike, so its mean over several k passes 1/a at any time with a chance of a at most (Ville). That failures
// are drawn without replacement only makes large values rarer (Hoeffding). Failures that come together are
// not independent: the ratio is taken to the power of 1/Dispersion, which keeps the game from being better than fair as long
// as they come in groups of that size.

// metrics are what is compared.
var metrics = [...]string{"failures", "refusals", "slow answers"}

// betFactors are the factors that are bet on, on top of the tolerance.
var betFactors = [...]float64{1.5, 3, 8, 30}

// evidence holds, by measure and factor, the sum of the logarithms of the ratios, in millionths. Whole numbers keep the
// state the same at all keepers.
type evidence [len(metrics)][len(betFactors)]int64

// applyHealth takes one window's counts.
func (m *StateMachine) applyHealth(h *Health) Result {
	r := m.Release
	if !r.active() || r.RollingBack || h.Release != r.Number {
		return reject(NothingToDo, "no release %d is under way", h.Release)
	}
	if h.Window <= r.Window && !m.skip(checkWindow) {
		return reject(StaleMessage, "window %d was taken", h.Window)
	}
	for _, c := range h.Zones {
		if !c.New.valid() || !c.Old.valid() {
			return reject(InvalidArgument, "room %s: counts must lie between 0 and the requests", c.Zone)
		}
	}
	r.Window = h.Window
	for _, c := range h.Zones {
		r.WaveRequests += c.New.Requests
		if c.New.Requests == 0 || c.Old.Requests == 0 {
			continue // nothing to compare with
		}
		r.New.add(c.New)
		r.Old.add(c.Old)
		for i, x := range c.New.metrics() {
			r.Evidence.add(i, c.New.Requests, c.Old.Requests, x, c.Old.metrics()[i], m.Settings.Analyzer)
		}
	}
	return Result{Release: r.Number}
}

func (c RequestCounts) valid() bool {
	return c.Requests >= 0 && c.Failed >= 0 && c.Rejected >= 0 && c.Slow >= 0 && c.Failed+c.Rejected+c.Slow <= c.Requests &&
		c.Requests < 1<<40
}

func (c RequestCounts) metrics() [len(metrics)]int64 { return [...]int64{c.Failed, c.Rejected, c.Slow} }

func (c *RequestCounts) add(o RequestCounts) {
	c.Requests, c.Failed, c.Rejected, c.Slow = c.Requests+o.Requests, c.Failed+o.Failed, c.Rejected+o.Rejected, c.Slow+o.Slow
}

// add books x failures among n1 requests on the new revision and y among n0 on the old.
func (e *evidence) add(measure int, n1, n0, x, y int64, j Analyzer) {
	if x+y == 0 {
		return
	}
	odds := j.Tolerance * float64(n1) / float64(n0)
	p := odds / (1 + odds)
	for i, k := range betFactors {
		q := k * odds / (1 + k*odds)
		llr := float64(x)*math.Log(q/p) + float64(y)*math.Log((1-q)/(1-p))
		e[measure][i] += int64(math.Round(1e6 * llr / j.Dispersion))
	}
}

// value is what one put on the measure is worth by now.
func (e *evidence) value(measure int) float64 {
	sum := 0.0
	for _, v := range e[measure] {
		sum += math.Exp(float64(v) / 1e6)
	}
	return sum / float64(len(betFactors))
}

// worseMetric tells whether the new revision is worse; empty for not known to be. Each wave is a game of its own, or what was
// lost while all was well would have to be won back before a fault shows; the chance is shared among waves and measures.
func (m *StateMachine) worseMetric(r *Release) string {
	j := m.Settings.Analyzer
	for i, name := range metrics {
		if r.Evidence.value(i) >= float64(len(metrics)*len(r.Waves))/j.Alpha {
			return fmt.Sprintf("%s on %s: %d in %d requests, beside %d in %d on %s", name, r.Revision,
				r.New.metrics()[i], r.New.Requests, r.Old.metrics()[i], r.Old.Requests, r.PreviousRevision)
		}
	}
	return ""
}
