package parts

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"beechcart/internal/fake/changelog"
	"beechcart/internal/scale/record"
)

const (
	reloadCount  = 10
	reloadedLine = "msg=reloaded"
)

// measureReload measures a reload of a front end's configuration. On SIGHUP a front end reads both configuration
// files again; only the source of its endpoint list changes.
func measureReload(ctx context.Context, o *Options, c *collector) error {
	c.note("each reload moves the front end to a change log at another address that holds the same events; what " +
		"SIGHUP puts in force is the source of the list alone (cmd/gateway/endpoints.go)")
	c.note("each sample is the mean of %d reloads; the CPU counts from the signal until the new source's next event "+
		"is in force", reloadCount)
	return o.forEachSize(ctx, c, record.FrontEnd, func(p sizeRun) error { return measureReloadAt(ctx, o, p) })
}

func measureReloadAt(ctx context.Context, o *Options, p sizeRun) (err error) {
	f, err := startFixture(fixtureOptions{program: o.Program, members: p.size.Members, engines: p.size.Engines})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	if _, err := f.awaitLine(engineListedLine, p.size.Engines); err != nil {
		return err
	}
	var reloaded, followed time.Duration
	startCPU := processCPU(f.front.Pid())
	for i := range reloadCount {
		if err := ctx.Err(); err != nil {
			return err
		}
		r, err := f.reload(p.size.Engines, i+1)
		if err != nil {
			return err
		}
		reloaded, followed = reloaded+r.reloaded, followed+r.followed
	}
	p.add("front_end_reload_seconds", reloaded.Seconds()/reloadCount)
	p.add("front_end_reload_followed_seconds", followed.Seconds()/reloadCount)
	p.add("front_end_reload_cpu_seconds", (processCPU(f.front.Pid())-startCPU)/reloadCount)
	return nil
}

// reload holds the times of one change of the list source, from the signal on.
type reload struct {
	reloaded time.Duration // until the front end logs the reload
	followed time.Duration // until an event that only the new source holds is logged
}

// reload switches the front end to a new change log that holds a complete list and the given number of changes. The
// front end already holds all of these events but the last.
func (f *fixture) reload(engines, events int) (r reload, err error) {
	next, err := changelog.Start("127.0.0.1:0")
	if err != nil {
		return r, err
	}
	next.Publish(true, endpointsOf(engines)...)
	for i := range events { // the sequence numbers continue those of the old change log
		next.Publish(false, endpointOf(0, []string{"draining", "ready"}[i%2]))
	}
	path := filepath.Join(f.dir, "n0.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), f.log.Addr, next.Addr, 1)), 0o600); err != nil {
		return r, err
	}
	sent := time.Now()
	if err := syscall.Kill(f.front.Pid(), syscall.SIGHUP); err != nil {
		return r, fmt.Errorf("parts: send SIGHUP: %w", err)
	}
	seen, err := f.awaitLines(reloadedLine, engineListedLine)
	if err != nil {
		return r, err
	}
	f.log.Close()
	f.log = next
	return reload{seen[0].Sub(sent), seen[1].Sub(sent)}, nil
}
