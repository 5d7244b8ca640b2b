package parts

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/engine"
	"beechcart/internal/faulttest"
)

// The limits that the platform sets for a front end (DEPLOY: limits), and the timeout for its log lines.
const (
	frontEndMemoryMB = 2048
	frontEndSockets  = 4096
	logLineTimeout   = 30 * time.Second
)

// fakeClasses sets how fake databases run statements: without delay, with a result of 1 KB.
var fakeClasses = map[string]engine.Class{"lookup": {Threads: 1, Rows: 42}}

// fixture is one real front end with a fake change log, and optionally fake databases.
type fixture struct {
	dir     string
	log     *changelog.Log
	engines []*engine.Engine
	front   *faulttest.FrontEnd
	lines   chan logLine

	began time.Time // start of the front end's process
	ready time.Time // when the front end listened
}

// logLine is a line of the front end's log and the time at which it was read.
type logLine struct {
	text string
	read time.Time
}

type fixtureOptions struct {
	program     string
	members     int    // front ends in the fleet, by the platform settings
	engines     int    // databases in the endpoint list
	fakeEngines bool   // start a fake for each database of the list
	settings    string // operators' settings as JSON; empty for none
}

// startFixture starts a front end and returns as soon as it listens.
func startFixture(o fixtureOptions) (f *fixture, err error) {
	f = &fixture{lines: make(chan logLine, 8*o.engines+1024)}
	defer func() {
		if err != nil {
			_ = f.close()
			f = nil
		}
	}()
	if f.dir, err = os.MkdirTemp("", "parts"); err != nil {
		return f, err
	}
	if f.log, err = changelog.Start("127.0.0.1:0"); err != nil {
		return f, err
	}
	list := endpointsOf(o.engines)
	for i := range list {
		list[i].Zone = zoneName(0) // the only zone in faulttest.Settings
		if !o.fakeEngines {
			continue
		}
		e, err := engine.Start("127.0.0.1:0", engine.Options{Name: "s-00000001", Cores: 4, MaxQueries: 10_000,
			Classes: fakeClasses})
		if err != nil {
			return f, err
		}
		f.engines = append(f.engines, e)
		list[i].Address = e.Addr
	}
	f.log.Publish(true, list...)
	platformSettings := strings.Replace(faulttest.Settings, `"replicas_of_me":1`,
		fmt.Sprintf(`"replicas_of_me":%d`, o.members), 1)
	platformSettings = strings.Replace(platformSettings, `"allowance_per_s":100000`, fmt.Sprintf(`"allowance_per_s":%d`,
		2*PlannedRate*o.members), 1)
	f.began = time.Now()
	f.front, err = faulttest.StartFrontEnd(faulttest.FrontEndOptions{Program: o.program, Dir: f.dir, Name: "n0",
		MemoryMB: frontEndMemoryMB, Descriptors: frontEndSockets,
		ChangeLog: f.log.Addr, OperatorSettings: o.settings, PlatformSettings: platformSettings, OnLogLine: f.forwardLogLine})
	f.ready = time.Now()
	return f, err
}

// forwardLogLine puts a line into f.lines, or drops it if the channel is full: a measurement that needs lines reads
// them as they arrive.
func (f *fixture) forwardLogLine(text string) {
	select {
	case f.lines <- logLine{text, time.Now()}:
	default:
	}
}

// awaitLine reads the log until the n-th line that contains text, and returns the time at which that line was read.
// It fails after logLineTimeout.
func (f *fixture) awaitLine(text string, n int) (time.Time, error) {
	for timeout := time.After(logLineTimeout); ; {
		select {
		case line := <-f.lines:
			if strings.Contains(line.text, text) {
				n--
			}
			if n == 0 {
				return line.read, nil
			}
		case <-timeout:
			return time.Time{}, fmt.Errorf("parts: log line %q not found within the timeout: %d more expected", text, n)
		}
	}
}

// awaitLines reads the log until each of the texts has been found, and returns the time at which the first line with
// each text was read, in the order of texts. It fails after logLineTimeout.
func (f *fixture) awaitLines(texts ...string) ([]time.Time, error) {
	seen := make([]time.Time, len(texts))
	for missing, timeout := len(texts), time.After(logLineTimeout); missing > 0; {
		select {
		case line := <-f.lines:
			for i, text := range texts {
				if seen[i].IsZero() && strings.Contains(line.text, text) {
					seen[i] = line.read
					missing--
				}
			}
		case <-timeout:
			return nil, fmt.Errorf("parts: log lines not found within the timeout: expected all of %q", texts)
		}
	}
	return seen, nil
}

// engineListedLine is part of each log line that reports one entry of the endpoint list.
const engineListedLine = `msg="engine listed"`

// close stops all processes and fakes and removes the directory. It returns the error of a front end that did not
// exit cleanly.
func (f *fixture) close() error {
	var err error
	if f.front != nil {
		err = f.front.Stop()
	}
	for _, e := range f.engines {
		e.Kill()
	}
	if f.log != nil {
		f.log.Close()
	}
	return errors.Join(err, os.RemoveAll(f.dir))
}
