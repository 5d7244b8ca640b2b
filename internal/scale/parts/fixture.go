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

// The limits that the platform gives a front end (DEPLOY: limits).
const (
	frontMemoryMB = 2048
	frontSockets  = 4096
	listedWithin  = 30 * time.Second
)

// fakeClasses are how fake databases run statements: at once, with a result of 1 KB.
var fakeClasses = map[string]engine.Class{"lookup": {Threads: 1, Rows: 42}}

// fixture is one real front end with a fake change log, and fake databases where it has to send.
type fixture struct {
	dir     string
	log     *changelog.Log
	engines []*engine.Engine
	front   *faulttest.FrontEnd
	lines   chan logLine

	began time.Time // when the front end was started
	ready time.Time // when it listened
}

// logLine is a line of the front end's log.
type logLine struct {
	text string
	read time.Time
}

// fixtureOptions are what a fixture is built with.
type fixtureOptions struct {
	program  string
	members  int    // of the fleet that the front end takes itself to be in
	engines  int    // in the list
	answer   bool   // the databases of the list are there, as fakes
	settings string // operators' settings as built JSON; empty: none
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
		list[i].Zone = zoneName(0) // the only one of faulttest.Settings
		if !o.answer {
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
	facts := strings.Replace(faulttest.Settings, `"replicas_of_me":1`, fmt.Sprintf(`"replicas_of_me":%d`, o.members), 1)
	facts = strings.Replace(facts, `"allowance_per_s":100000`, fmt.Sprintf(`"allowance_per_s":%d`,
		2*PlannedRate*o.members), 1)
	f.began = time.Now()
	f.front, err = faulttest.StartFrontEnd(faulttest.FrontEndOptions{Program: o.program, Dir: f.dir, Name: "n0",
		MemoryMB: frontMemoryMB, Descriptors: frontSockets,
		ChangeLog: f.log.Addr, OperatorSettings: o.settings, PlatformSettings: facts, OnLogLine: f.readLine})
	f.ready = time.Now()
	return f, err
}

// readLine passes a line on. One that finds no place is dropped: nobody waits for it.
func (f *fixture) readLine(text string) {
	select {
	case f.lines <- logLine{text, time.Now()}:
	default:
	}
}

// await returns when the front end wrote the n-th line from now on that contains text.
func (f *fixture) await(text string, n int) (time.Time, error) {
	for timeout := time.After(listedWithin); ; {
		select {
		case line := <-f.lines:
			if strings.Contains(line.text, text) {
				n--
			}
			if n == 0 {
				return line.read, nil
			}
		case <-timeout:
			return time.Time{}, fmt.Errorf("parts: the front end has not written %q: %d missing", text, n)
		}
	}
}

// awaitEach returns when the front end wrote the first line from now on that contains each of the texts.
func (f *fixture) awaitEach(texts ...string) ([]time.Time, error) {
	seen := make([]time.Time, len(texts))
	for missing, timeout := len(texts), time.After(listedWithin); missing > 0; {
		select {
		case line := <-f.lines:
			for i, text := range texts {
				if seen[i].IsZero() && strings.Contains(line.text, text) {
					seen[i] = line.read
					missing--
				}
			}
		case <-timeout:
			return nil, fmt.Errorf("parts: the front end has not written each of %q", texts)
		}
	}
	return seen, nil
}

// listedLine is in each line that tells of one entry of the list.
const listedLine = `msg="engine listed"`

// close ends all that runs and tells of a front end that has not ended well.
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
