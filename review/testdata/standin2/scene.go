package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errBroken marks an error that reports a broken rule.
var errBroken = errors.New("rule broken")

// timeLimit is how long a case may run.
const timeLimit = 110 * time.Second

// scene is one run of a case: the front end, its stand-ins and the record.
type scene struct {
	trouble  bool // the disruption happens
	folder   string
	temp     string
	record   *os.File
	began    time.Time
	late     atomic.Bool
	watchdog *time.Timer

	mu        sync.Mutex
	processes []*exec.Cmd // guarded by mu
	requests  []*request  // guarded by mu

	engines   []*engineProcess
	frontEnds []*frontEnd
	asked     atomic.Int64 // requests sent, for the choice of a front end
}

// frontEnd is a process of the program under test.
type frontEnd struct {
	name, address, logPath string
	cmd                    *exec.Cmd
}

// request is one request of a client and its answer.
type request struct {
	id, class, statement string
	sentAt, answeredAt   time.Time
	answer               answer
}

func newScene(folder string) (*scene, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &scene{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, temp: temp, record: record, began: time.Now(),
	}
	s.watchdog = time.AfterFunc(timeLimit, func() {
		s.late.Store(true)
		s.endProcesses()
		time.AfterFunc(5*time.Second, func() { os.Exit(exitNotRun) })
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { // ends with the process
		<-signals
		s.endProcesses()
		_ = os.RemoveAll(s.temp)
		os.Exit(exitNotRun)
	}()
	s.note("disruption: %v", s.trouble)
	return s, nil
}

func (s *scene) timedOut() bool { return s.late.Load() }

// note writes a line to the record and to standard output.
func (s *scene) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// log writes a line to the record only.
func (s *scene) log(at time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", at.Sub(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scene) endProcesses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
}

func (s *scene) close() {
	s.endProcesses()
	s.watchdog.Stop()
	s.record.Close()
	_ = os.RemoveAll(s.temp)
}

// start starts a process that close ends.
func (s *scene) start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.processes = append(s.processes, cmd)
	s.mu.Unlock()
	return nil
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// engineProcess is an engine that runs as a process of its own.
type engineProcess struct {
	name, address, record string
	cmd                   *exec.Cmd
}

// startEngines starts engines with the given flags.
func (s *scene) startEngines(count int, flags ...string) error {
	for i := range count {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		e := &engineProcess{
			name: fmt.Sprintf("s-%08x", 0x1000+i), address: address, record: filepath.Join(s.temp, fmt.Sprintf("engine%d", i)),
		}
		e.cmd = exec.Command(os.Args[0], append([]string{"engine", address, e.record}, flags...)...)
		e.cmd.Stderr = os.Stderr
		if err := s.start(e.cmd); err != nil {
			return err
		}
		if err := waitForListener(address); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		s.note("engine %s listens at %s", e.name, address)
	}
	return nil
}

func waitForListener(address string) error {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// signalEngine sends a signal to an engine's process.
func (s *scene) signalEngine(e *engineProcess, sig syscall.Signal) {
	_ = e.cmd.Process.Signal(sig)
	s.note("signal %v to engine %s", sig, e.name)
}

// events returns what the engines have recorded, and logs it.
func (s *scene) events() (events []engineEvent) {
	for _, e := range s.engines {
		file, err := os.Open(e.record)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var event engineEvent
			if json.Unmarshal(lines.Bytes(), &event) == nil {
				event.Engine = e.name
				events = append(events, event)
				s.log(time.UnixMilli(event.AtMs), "engine %s %s id=%s class=%s bytes=%d sum=%s %s %q",
					e.name, event.Event, event.ID, event.Class, event.Bytes, event.Sum, event.Why, event.Text)
			}
		}
		file.Close()
	}
	return events
}

// startFrontEnds starts a change log, and front ends with the command of the deploy file, and waits until each of them
// answers a ping.
func (s *scene) startFrontEnds(count int, settings string) error {
	changeLog, err := s.serveChanges()
	if err != nil {
		return err
	}
	for i := range count {
		own := strings.Replace(settings, `"me":0,"replicas_of_me":1`, fmt.Sprintf(`"me":%d,"replicas_of_me":%d`, i, count), 1)
		if err := s.startFrontEnd(fmt.Sprintf("n%d", i), changeLog, own); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) startFrontEnd(name, changeLog, settings string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f := &frontEnd{name: name, address: address, logPath: filepath.Join(s.temp, name+".log")}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":%q,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"changelog":%q,"known":%s,"settings":%s}`, name, address, newID(), changeLog, s.knownEvents(), settings)
	path := filepath.Join(s.temp, name+".json")
	if err := os.WriteFile(path, []byte(config), 0o644); err != nil {
		return err
	}
	command, err := runCommand()
	if err != nil {
		return err
	}
	logFile, err := os.Create(f.logPath)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+name, "PROXY_LISTEN="+address, "TMPDIR="+s.temp)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := s.start(cmd); err != nil {
		return err
	}
	f.cmd = cmd
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := dialSession(address); err == nil {
			ready := c.ping()
			c.conn.Close()
			if ready {
				s.frontEnds = append(s.frontEnds, f)
				s.note("front end %s ready at %s", name, address)
				return nil
			}
		}
	}
	text, _ := os.ReadFile(f.logPath)
	return fmt.Errorf("front end is not ready: %s", text)
}

// runCommand returns the command of the deploy file that starts a front end.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run command")
}

// copyLogs ends the front ends, and copies the last lines of their logs, with their counters, into the record.
func (s *scene) copyLogs() {
	for _, f := range s.frontEnds {
		_ = f.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, f := range s.frontEnds {
		_ = f.cmd.Wait()
		text, _ := os.ReadFile(f.logPath)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		for _, line := range lines[max(0, len(lines)-40):] {
			s.log(time.Now(), "log of %s: %s", f.name, line)
		}
	}
}

// knownEvents returns the change log's events: the list of engines.
func (s *scene) knownEvents() string {
	var entries []string
	for i, e := range s.engines {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"room-a","type":"std-12","group":%d,
"status":"ready","weight":1,"since_ms":0}`, e.name, e.address, i))
	}
	return fmt.Sprintf(`{"seq":1,"results":[{"seq":1,"fleet":{"index":1,"snapshot":true,"endpoints":[%s]}}]}`,
		strings.Join(entries, ","))
}

// serveChanges serves a change log without further events, and returns its address.
func (s *scene) serveChanges() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var ms int
		_, _ = fmt.Sscan(r.URL.Query().Get("timeout"), &ms)
		if r.URL.Query().Get("since") == "0" {
			fmt.Fprint(w, s.knownEvents())
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(ms, 5000)) * time.Millisecond):
			fmt.Fprint(w, `{"seq":1,"results":[]}`)
		}
	})
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

// newID returns 16 random hexadecimal digits.
func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// ask sends one request on a connection of its own and records its answer. waitMs is how long the client waits.
func (s *scene) ask(class, statement string, waitMs int) *request {
	r := &request{id: newID(), class: class, statement: statement, sentAt: time.Now()}
	f := s.frontEnds[int(s.asked.Add(1))%len(s.frontEnds)]
	c, err := dialSession(f.address)
	if err != nil {
		r.answer = answer{kind: lost, text: err.Error()}
	} else {
		r.sentAt = time.Now()
		text := fmt.Sprintf("/* c=%s,i=%s,d=%d,t=south-grain,h=%d.0,need_mb=16 */ %s", class, r.id, waitMs,
			token(sleepToken, statement, 20), statement)
		r.answer = c.query(text, r.sentAt.Add(time.Duration(waitMs)*time.Millisecond+700*time.Millisecond))
		c.conn.Close()
	}
	r.answeredAt = time.Now()
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	s.log(r.sentAt, "sent %s id=%s to %s bytes=%d sum=%s", class, r.id, f.name, len(statement), sumOf(statement))
	s.log(r.answeredAt, "answered id=%s %s rows=%d bytes %s", r.id, r.answer.kind, len(r.answer.rows), r.answer.text)
	return r
}

// stream sends requests at a rate until stop is closed, and waits for all answers.
func (s *scene) stream(perSecond float64, stop <-chan struct{}, send func()) (wait func()) {
	var running sync.WaitGroup
	running.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				running.Go(send)
			}
		}
	})
	return running.Wait
}

// fleetPrices returns settings in which connections and probes have the prices of a large fleet.
func fleetPrices() string {
	return strings.Replace(settings(0.02), `"probe":0.01`, `"probe":0.1`, 1)
}

// settings returns the settings of a small deployment with the site's classes. handshake is the price of a connection.
func settings(handshake float64) string {
	return fmt.Sprintf(`{"callers":{"marks_retry":false},"discovery":"push","domain_type":"queries",
"family_info":{"holds_tables":[false,false,true],"kind_memory_mb":[24576.0],"lanes_count":true,"most_grant":0.4,
"overbooked":"overcommit","says_cost":true,"size_cores":[12],"takes_grants":false,"tells_every":1000000000,
"threads_by_class":[1,4,2],"waits_for_loads":[true,true,false]},"locality":"room-a","me":0,"replicas_of_me":1,
"over_share_worth":0.2,"permissions":{"attempts_cap":3,"cancel":true,"conn_idle":30000000000,
"connect_timeout":250000000,"max_open":20000,"max_retry_after":1000000000,"max_streams":32,"may_duplicate":false,
"may_tell":false,"probes":true,"retry_after":false},"prices":{"cross_zone":0.018,"handshake":%g,"late_fail":0.05,
"probe":0.01,"waste":0.03},"reporting":{"columns":["utilization"],"via":"pull"},"rules":{"answer_slack":20000000,
"cold":14000000000,"cold_from":0.3,"drain_grace":500000000,"fall_multiple":4.0,"overload_for":1000000000},
"services":[{"aim_stretch":1.5,"deadline":2500000000,"late_worth":0.1,"name":"lookup","on_time":500000000,"points":1.0,
"semantics":"read_like"},{"aim_stretch":2.5,"deadline":25000000000,"late_worth":0.3,"name":"report",
"on_time":3000000000,"points":12.0,"semantics":"read_like"},{"aim_stretch":2.5,"deadline":25000000000,"late_worth":0.6,
"name":"load","on_time":3000000000,"points":12.0,"semantics":"non_idempotent"}],"skus":["std-12"],
"tenants":[{"allowance_per_s":189.0,"fraction":1.0,"name":"south-grain"}],"weights":"silent","worth_by":"request",
"zones":["room-a"]}`, handshake)
}
