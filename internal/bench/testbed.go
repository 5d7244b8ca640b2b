package bench

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/engine"
	"beechcart/internal/faulttest"
	"beechcart/internal/processstats"
)

// listTimeout is the timeout for the front end to log the next engine of its list.
const listTimeout = 10 * time.Second

// testbedOptions are the options of newTestbed.
type testbedOptions struct {
	program     string // path of the front end
	engines     int    // number of fake engines
	descriptors int    // file descriptor limit of the front end
	settings    string // operators' settings as built JSON; empty: none
	withStats   bool   // connect to the front end's process statistics
}

// testbed is a front end with fake engines and a fake change log.
type testbed struct {
	dir      string
	log      *changelog.Log
	engines  []*engine.Engine
	frontEnd *faulttest.FrontEnd
	stats    *processstats.Client // nil unless withStats is set
}

// newTestbed starts a front end on fake engines that answer without delay. Health checks are off: they are sent on a
// timer, and would be counted as a cost of requests.
func newTestbed(o testbedOptions) (_ *testbed, err error) {
	t := &testbed{}
	defer func() {
		if err != nil {
			t.close()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "bench"); err != nil {
		return nil, err
	}
	if t.log, err = changelog.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if err = t.startEngines(o.engines); err != nil {
		return nil, err
	}
	if err = t.startFrontEnd(o); err != nil {
		return nil, err
	}
	return t, nil
}

// close stops all processes and removes all files.
func (t *testbed) close() {
	if t.stats != nil {
		t.stats.Close()
	}
	if t.frontEnd != nil {
		_ = t.frontEnd.Stop()
	}
	for _, e := range t.engines {
		e.Kill()
	}
	if t.log != nil {
		t.log.Close()
	}
	_ = os.RemoveAll(t.dir)
}

// engineName returns the name that an engine puts into its results. All names have the same length, so that all results
// have the same size.
func engineName(i int) string { return "s-0000000" + strconv.Itoa(i%10) }

// startEngines starts fake engines and lists them in the change log.
func (t *testbed) startEngines(n int) error {
	var endpoints []changelog.Endpoint
	for i := range n {
		e, err := engine.Start("127.0.0.1:0", engine.Options{Name: engineName(i), Cores: 64, MaxQueries: 10_000,
			Classes: engineClasses})
		if err != nil {
			return err
		}
		t.engines = append(t.engines, e)
		endpoints = append(endpoints, changelog.Endpoint{Name: fmt.Sprintf("s-%08x", i+1), Address: e.Addr, Zone: "room-a",
			Type: "std-4", Status: "ready"})
	}
	t.log.Publish(true, endpoints...)
	return nil
}

// startFrontEnd starts the front end and returns once the front end has logged all engines.
func (t *testbed) startFrontEnd(o testbedOptions) error {
	listed := make(chan struct{}, 4096)
	options := faulttest.FrontEndOptions{
		Program:          o.program,
		Dir:              t.dir,
		Name:             "n0",
		MemoryMB:         512,
		Descriptors:      o.descriptors,
		ChangeLog:        t.log.Addr,
		OperatorSettings: o.settings,
		PlatformSettings: strings.Replace(faulttest.Settings, `"probes":true`, `"probes":false`, 1),
		OnLogLine: func(line string) {
			if _, ok := faulttest.ParseEngineListed(line); ok {
				listed <- struct{}{}
			}
		},
	}
	if o.withStats {
		remote, err := t.openStats()
		if err != nil {
			return err
		}
		defer func() { _ = remote.Close() }()
		options.Files, options.Env = []*os.File{remote}, []string{processstats.DescriptorEnv + "=3"}
	}
	var err error
	if t.frontEnd, err = faulttest.StartFrontEnd(options); err != nil {
		return err
	}
	return awaitListed(listed, o.engines)
}

// openStats opens a socket pair for the front end's process statistics, and returns the front end's socket.
func (t *testbed) openStats() (remote *os.File, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	t.stats = processstats.NewClient(os.NewFile(uintptr(pair[0]), "process statistics"))
	return os.NewFile(uintptr(pair[1]), "process statistics"), nil
}

// awaitListed returns once n engines are listed, or an error when listTimeout passes without a further engine.
func awaitListed(listed <-chan struct{}, n int) error {
	for range n {
		select {
		case <-listed:
		case <-time.After(listTimeout):
			return errors.New("bench: front end did not log all engines of its list in time")
		}
	}
	return nil
}
