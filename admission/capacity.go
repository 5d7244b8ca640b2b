package admission

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	reportLag   = 150 * time.Millisecond // a report that arrives now does not show sends younger than this
	reportFade  = 1500 * time.Millisecond
	paceFade    = 5 * time.Second // the pace of an engine not heard from goes to that of all
	usualFade   = 3 * time.Second // own threads at an engine are smoothed over so long
	busyLevel   = 0.85            // load above which an engine, or the fleet, is under pressure
	calmLevel   = 0.6             // load under which answers show the usual pace of a class
	factorStart = 1.4             // threads per core
	factorLow   = 0.7
	factorHigh  = 2.2
	slowGoal    = 2.4 // slowdown, against calm engines, that the thread factor steers to

	calmSpare  = 2.0  // deviations of own threads that our part of the fleet's bound may be passed by
	busySpare  = 1.2  // the same when the fleet's reports show pressure
	smallSpare = 1.5  // bounds are wider by this for small classes: the rare heavy must not starve them
	memoryFill = 0.95 // share of an engine's memory that own grants may fill

	luckFor = 2000 * time.Millisecond // how long a chance that was drawn holds
)

// fleet is what the engines in use come to.
type fleet struct {
	avg, pace     float64 // mean load, median slowdown
	run, cap, mem float64 // own threads in all, a tenant's threads, a tenant's memory
	all, used     int
	cores         float64 // ready by now
}

// survey sums the fleet up, once a step: its load, its pace, and what own caps come to.
func (c *Controller) survey() {
	c.paces = c.paces[:0]
	f := fleet{}
	rate, equal := 0.0, 0.0
	for i, t := range c.set.Tenants {
		rate, equal = rate+c.arrivals(c.tens[i]), equal+t.RequestsPerSecond/float64(c.set.Replicas)
	}
	c.ours = c.uneven(rate, equal)
	out := 0.0
	sum, heard := 0.5e-3, 1e-3 // before anything was heard, half
	for _, e := range c.engines {
		if !e.gone {
			f.all++
			f.cores += e.cores
		}
		if e.gone || e.ejected {
			continue
		}
		f.used++
		e.pace += (c.all.pace - e.pace) * math.Min(float64(c.now-c.surveyed)/float64(paceFade), 1)
		out += float64(len(e.outs))
		e.usual += (e.threads - e.usual) * math.Min(float64(c.now-c.surveyed)/float64(usualFade), 1)
		c.paces = append(c.paces, e.pace)
		if e.repAt >= 0 || c.set.LoadReporting == NoLoadReports {
			w := e.cores * math.Max(c.fresh(e), 1e-3)
			sum, heard = sum+w*c.reported(e), heard+w
		}
	}
	if out > 0 {
		c.meanTh += (c.running/out - c.meanTh) * math.Min(float64(c.now-c.surveyed)/float64(rateFade), 1)
	}
	f.avg, f.pace = math.Min(sum/heard, 2), median(c.paces, 1)
	for _, e := range c.engines {
		limit := c.limit(e)
		switch {
		case e.gone || e.ejected:
			// What is stuck there takes nothing from the others: it must not fill the caps.
			f.run, f.cap, f.mem = f.run+e.threads, f.cap+e.threads, f.mem+e.mem
			continue
		case c.calm(e, 1, f.avg):
			f.cap += math.Max(limit, e.threads+e.cores)
		default:
			f.cap += limit
		}
		f.run += limit / c.part / float64(c.set.Replicas) * c.ours
		f.mem += e.memory / float64(c.set.Replicas) * c.ours
	}
	c.fleet, c.surveyed = f, c.now
	slices.SortStableFunc(c.order, func(a, b int) int {
		return cmp.Compare(
			c.set.Classes[b].PriorityWeight/c.classes[b].work,
			c.set.Classes[a].PriorityWeight/c.classes[a].work)
	})
	c.arc()
}

// mayGo holds the caps that do not depend on the engine: our part of the fleet's bound, the tenant's running
// and memory caps. Small classes are capped among themselves: our part may be less than one heavy query.
func (c *Controller) mayGo(r *request) bool {
	f, lump := &c.fleet, float64(r.cls.Threads)/math.Max(c.fleet.run, 1e-3)
	most := 1 + calmSpare*math.Sqrt(lump) // chance brings some gateways more, the fewer queries a part holds
	if f.avg > busyLevel {
		most = busySpare
	}
	run, mem := c.running, r.ten.mem
	if c.small(r.Class) {
		most *= smallSpare
		run, mem = c.smallRun, r.ten.smallMem
	}
	return run+c.chance()*float64(r.cls.Threads) <= most*f.run &&
		(r.ten.running == 0 || r.ten.running < f.cap) &&
		(f.mem == 0 || mem == 0 || mem+c.memOf(r) <= math.Min(most, float64(c.set.Replicas))*f.mem)
}

// chance is our draw for what comes in parts of a query; it holds, so that asking again wins nothing.
func (c *Controller) chance() float64 {
	if c.now >= c.luckUntil {
		c.luck, c.luckUntil = c.rand(), c.now+luckFor
	}
	return c.luck
}

// room tells whether an engine takes one more of the request. The bound binds only under pressure, and where
// it is under one query, only on fresh word of the engine's own.
func (c *Controller) room(e *engine, r *request, avg float64) bool {
	th, limit, fill, held := float64(r.cls.Threads), c.limit(e), memoryFill, e.mem
	if c.small(r.Class) {
		limit, held = limit*smallSpare, e.smallMem
	} else {
		fill *= 0.85 // what the heavy leave is room for the small, which would wait long for it
	}
	if (limit >= th || c.fresh(e) > 0.5) && !c.calm(e, th, avg) && e.threads+c.chance()*th > limit {
		return false
	}
	need, free := c.memOf(r), e.memory*fill*c.part-held
	if e.rep.Memory >= 0 && c.fresh(e) > 0.4 {
		_, since := e.sentSince(reportLag)
		free = math.Max(free, e.memory*(fill-e.rep.Memory)-since)
	}
	return e.threads == 0 || e.memory <= 0 || need <= free
}

// calm tells an engine that is not under pressure, with so many threads more, in as far as the load is ours.
func (c *Controller) calm(e *engine, th, avg float64) bool {
	load := c.load(e, avg) + th*math.Min(1, 3*c.part)/e.cores
	return load <= busyLevel*c.ready(e) && e.rep.Disks < busyLevel && e.rep.Queue <= 0 && e.pace < slowGoal
}

// limit is the bound on own threads at an engine: its cores, this gateway's part, the threads a core that
// the engine has lately carried well, and what a cold start leaves of it.
func (c *Controller) limit(e *engine) float64 {
	return e.cores * math.Min(e.factor, c.all.factor) * c.ready(e) * c.part
}

// load estimates an engine's load: its report, faded by age to the average, plus own sends since.
func (c *Controller) load(e *engine, avg float64) float64 {
	since, _ := e.sentSince(reportLag)
	fade := c.fresh(e)
	return fade*c.reported(e) + (1-fade)*avg + since/e.cores
}

// reported is the load that the last report tells: use or, which tells a jam, threads held over what is well
// carried, the greater. Where neither is told, own threads, smoothed, over our part stand in.
func (c *Controller) reported(e *engine) float64 {
	threads := e.usual / c.part
	if e.rep.Held >= 0 {
		threads = e.rep.Held * c.meanTh
	} else if e.rep.Util >= 0 {
		return e.rep.Util
	}
	return math.Max(e.rep.Util, threads/e.cores/c.all.factor)
}

// fresh is how far a report still counts: it fades by its age.
func (c *Controller) fresh(e *engine) float64 {
	if e.repAt < 0 {
		return 0
	}
	return math.Exp(-float64(max(0, c.now-e.repAt-reportLag)) / float64(reportFade))
}

// sentSince sums the threads and the memory of own attempts that the last report does not show yet.
func (e *engine) sentSince(lag time.Duration) (threads, mem float64) {
	for _, a := range e.outs {
		if t := &a.req.tries[a.n]; e.repAt < 0 || t.sent > e.repAt-lag {
			threads += t.threads
			mem += t.mem
		}
	}
	return threads, mem
}

// small tells a class whose work is well under the mean of the heaviest.
func (c *Controller) small(class int) bool {
	return c.classes[class].work < c.heaviest()/4
}

// heaviest is the largest mean work of a class.
func (c *Controller) heaviest() (top float64) {
	for i := range c.classes {
		top = max(top, c.classes[i].work)
	}
	return top
}

// steer moves the thread factor by the slowdown of answers against that of the class on calm engines: up a
// little while they are quick, down by a part when they are slow. It answers whatever takes capacity.
func (c *Controller) steer(e *engine, slow float64) {
	e.pace *= math.Exp((slow - math.Log(e.pace)) * 0.12)
	if e.pace <= slowGoal {
		e.factor = math.Min(factorHigh, e.factor+0.01)
	} else if c.now-e.cutAt > 400*time.Millisecond {
		e.factor, e.cutAt = math.Max(factorLow, e.factor*0.9), c.now
	}
}

// median is the lower median, or none where there are no values.
func median(v []float64, none float64) float64 {
	if len(v) == 0 {
		return none
	}
	sort.Float64s(v)
	return v[(len(v)-1)/2]
}
