//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is the time after which a case gives up.
const maxRun = 110 * time.Second

// cases holds the cases by number.
var cases = map[string]func(*platform) (broken string, err error){}

// platform is the stand-in of the platform: it starts front ends, serves their change log and keeps the record.
type platform struct {
	trouble bool // the case's disruption takes place
	temp    string

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes []*process
	events    []string
	changed   chan struct{}
	changelog string // address
}

// runCase runs a case and returns its exit code. All processes that the case started have ended by then.
func runCase(run func(*platform) (string, error), directory string) int {
	record, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p := &platform{
		trouble: os.Getenv("TROUBLE") != "0", temp: temp, record: record, began: time.Now(), changed: make(chan struct{}),
	}
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(p)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(maxRun):
		r.err = errors.New("the case did not end in time")
	}
	p.endProcesses()
	_ = os.RemoveAll(temp)
	code, verdict := exitHeld, "held"
	switch {
	case r.err != nil:
		code, verdict = exitNotRun, "could not run: "+r.err.Error()
	case r.broken != "":
		code, verdict = exitBroken, "broken: "+r.broken
	}
	p.note("verdict trouble=%t %s", p.trouble, verdict)
	fmt.Println(verdict)
	_ = record.Close()
	return code
}

// note writes one line to the record.
func (p *platform) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f ", time.Since(p.began).Seconds())
	fmt.Fprintf(p.record, format, args...)
	fmt.Fprintln(p.record)
}

// process is a process that a case started.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // valid once ended is closed
}

func (p *platform) start(name string, cmd *exec.Cmd) (*process, error) {
	log, err := os.Create(filepath.Join(p.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	if cmd.Stdout == nil {
		cmd.Stdout = log
	}
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	pr := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		pr.err = cmd.Wait()
		close(pr.ended)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, pr)
	p.mu.Unlock()
	return pr, nil
}

// kill ends a process at once.
func (pr *process) kill() { _ = pr.cmd.Process.Kill() }

func (pr *process) signal(s syscall.Signal) { _ = pr.cmd.Process.Signal(s) }

func (pr *process) running() bool {
	select {
	case <-pr.ended:
		return false
	default:
		return true
	}
}

func (p *platform) endProcesses() {
	p.mu.Lock()
	processes := p.processes
	p.mu.Unlock()
	for _, pr := range processes {
		pr.signal(syscall.SIGCONT)
		pr.signal(syscall.SIGKILL)
		<-pr.ended
	}
}

// endpoint is an entry of the change log.
type endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Type    string `json:"type"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	Weight  int    `json:"weight"`
	SinceMS int64  `json:"since_ms"`
}

// publish adds an event to the change log.
func (p *platform) publish(endpoints ...endpoint) {
	text, _ := json.Marshal(endpoints)
	p.mu.Lock()
	p.events = append(p.events, fmt.Sprintf(`{"seq":%d,"fleet":{"index":%[1]d,"snapshot":false,"endpoints":%s}}`,
		len(p.events)+1, text))
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.note("changelog %s", text)
}

// serveChangeLog serves the change log on a free port.
func (p *platform) serveChangeLog() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.changelog = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(p.changes)) }()
	return nil
}

func (p *platform) changes(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, 5*time.Second))
	for timedOut := false; ; {
		p.mu.Lock()
		events, changed := p.events, p.changed
		p.mu.Unlock()
		if len(events) > since || timedOut {
			fmt.Fprintf(w, `{"seq":%d,"results":[%s]}`, len(events), strings.Join(events[min(since, len(events)):], ","))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// limits are the limits of a front end.
type limits struct {
	memoryMB, sockets int
}

// frontEnd is a gateway process.
type frontEnd struct {
	*process
	addr   string
	limits limits
}

// startFrontEnd starts a gateway with the run command of the deploy file, and waits until it answers COM_PING with OK.
func (p *platform) startFrontEnd(name string, lim limits, settings string) (*frontEnd, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	known := fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(p.events), strings.Join(p.events, ","))
	p.mu.Unlock()
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,`+
		`"sockets":%d},"changelog":%q,"known":%s,"settings":%s}`,
		name, addr, lim.memoryMB, lim.sockets, p.changelog, known, settings)
	path := filepath.Join(p.temp, name+".json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Env = append(os.Environ(), "PROXY_NAME="+name, "PROXY_LISTEN="+addr, "PROXY_CONFIG="+path, "BEECHCART_SETTINGS=")
	pr, err := p.start(name, cmd)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !pr.running() {
			return nil, fmt.Errorf("%s ended: %v", name, pr.err)
		}
		c, err := dialClient(addr)
		if err != nil {
			continue
		}
		ok := c.ping() == nil
		c.close()
		if ok {
			p.note("front end %s ready at %s", name, addr)
			return &frontEnd{pr, addr, lim}, nil
		}
	}
	return nil, fmt.Errorf("%s was not ready within 30 s", name)
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, key+" = "); ok {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml: no %s", key)
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// residentMB returns the memory of a process that does not belong to a file, in MB, and 0 once the process has ended.
func (pr *process) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// regina returns settings like those of the deployment regina-campus. replace changes them by textual replacement.
func regina(replace ...string) string {
	return strings.NewReplacer(replace...).Replace(reginaSettings)
}

const reginaSettings = `{"callers":{"marks_retry":false},"discovery":"push","domain_type":"queries",` +
	`"family_info":{"holds_tables":[false,false,true],"kind_memory_mb":[24576.0],"lanes_count":true,"most_grant":0.4,` +
	`"overbooked":"overcommit","says_cost":true,"size_cores":[12],"takes_grants":false,"tells_every":1000000000,` +
	`"threads_by_class":[1,4,2],"waits_for_loads":[true,true,false]},` +
	`"goal":{"whole":0.3,"worst_class":0.2,"worst_tenant":0.35,"worst_window":0.15},"locality":"room-a","me":0,` +
	`"over_share_worth":0.2,"permissions":{"attempts_cap":3,"cancel":true,"conn_idle":30000000000,` +
	`"connect_timeout":250000000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"max_open":20000,` +
	`"max_retry_after":1000000000,"max_streams":32,"may_duplicate":false,"may_tell":false,"probes":true,` +
	`"retry_after":false},"prices":{"connection":0.0,"cross_zone":0.018,"discovery":0.0,"handshake":0.0,` +
	`"late_fail":0.05,"probe":0.01,"waste":0.03},"replicas_of_me":1,` +
	`"reporting":{"columns":["utilization"],"via":"pull"},"round":5000000,` +
	`"rules":{"answer_slack":20000000,"ask_every":10000000000,"cold":14000000000,"cold_from":0.3,` +
	`"drain_grace":500000000,"fall_multiple":4.0,"overload_for":1000000000},` +
	`"services":[{"aim_stretch":1.5,"deadline":2500000000,"group":"all","late_worth":0.1,"memory_span":5000000000,` +
	`"name":"lookup","on_time":500000000,"points":1.0,"semantics":"read_like","stream":false},` +
	`{"aim_stretch":2.5,"deadline":25000000000,"group":"all","late_worth":0.3,"memory_span":5000000000,` +
	`"name":"report","on_time":3000000000,"points":12.0,"semantics":"read_like","stream":false},` +
	`{"aim_stretch":2.5,"deadline":25000000000,"group":"all","late_worth":0.6,"memory_span":5000000000,` +
	`"name":"load","on_time":3000000000,"points":12.0,"semantics":"non_idempotent","stream":false}],` +
	`"skus":["std-12"],"tenants":[{"allowance_per_s":117.0,"fraction":0.62,"name":"south-grain"},` +
	`{"allowance_per_s":49.0,"fraction":0.26,"name":"aspen-valley"},` +
	`{"allowance_per_s":23.0,"fraction":0.12,"name":"coulee-farms"}],"tier":0,"tiers":["query-fleet"],` +
	`"weights":"silent","worth_by":"request","zones":["room-a","room-b","room-c"]}`
