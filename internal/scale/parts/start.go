package parts

import (
	"context"
	"errors"
	"time"

	"beechcart/internal/scale/record"
)

// measureStart measures the time from the start of a front end's process until it listens, and until it has its
// complete endpoint list.
func measureStart(ctx context.Context, o *Options, c *collector) error {
	c.note("a front end outside a fleet; in a fleet it also waits for its drains, at most 3 s (cmd/gateway/fleet.go: " +
		"registrationTimeout)")
	c.note("each sample is the mean, or the most, of %d starts; ready: the line in which it says that it listens has "+
		"been read", o.Starts)
	return o.forEachSize(ctx, c, record.FrontEnd, func(p sizeRun) error { return measureStartAt(ctx, o, p) })
}

func measureStartAt(ctx context.Context, o *Options, p sizeRun) error {
	var ready, listed, cpu, most time.Duration
	for range o.Starts {
		if err := ctx.Err(); err != nil {
			return err
		}
		s, err := startOnce(o, p)
		if err != nil {
			return err
		}
		ready, listed, cpu, most = ready+s.ready, listed+s.listed, cpu+s.cpu, max(most, s.ready)
	}
	count := float64(o.Starts)
	p.add("front_end_start_seconds", ready.Seconds()/count)
	p.add("front_end_start_most_seconds", most.Seconds())
	p.add("front_end_list_taken_seconds", listed.Seconds()/count)
	p.add("front_end_start_cpu_seconds", cpu.Seconds()/count)
	return nil
}

// started holds the costs of one start, from the start of the process on.
type started struct {
	ready  time.Duration // until the front end listens
	listed time.Duration // until the front end has the complete list
	cpu    time.Duration // CPU time of the front end until then
}

func startOnce(o *Options, p sizeRun) (s started, err error) {
	f, err := startFixture(fixtureOptions{program: o.Program, members: p.size.Members, engines: p.size.Engines})
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	listed, err := f.awaitLine(engineListedLine, p.size.Engines)
	if err != nil {
		return s, err
	}
	s.cpu = time.Duration(processCPU(f.front.Pid()) * float64(time.Second))
	s.ready, s.listed = f.ready.Sub(f.began), listed.Sub(f.began)
	return s, nil
}
