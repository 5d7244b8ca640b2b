package faulttest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// Front is one real front end process.
type Front struct {
	Addr string // where clients connect
	cmd  *exec.Cmd
	exit chan error

	mu    sync.Mutex
	log   bytes.Buffer
	line  func(string)
	ready chan string
}

// Facts are the settings object of the drills: the platform's classes at their real deadlines, engines of four cores.
const Facts = `{"discovery":"push","family_info":{"holds_tables":[false,false,true],"kind_memory_mb":[24576],"lanes_count":true,
"overbooked":"overcommit","says_cost":true,"size_cores":[4],"tells_every":1000000000,"threads_by_class":[1,2,2],
"waits_for_loads":[true,true,false]},"locality":"room-a","me":0,"replicas_of_me":1,"permissions":{"attempts_cap":3,
"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_retry_after":1000000000,"probes":true},
"reporting":{"columns":["utilization"],"via":"pull"},"rules":{"answer_slack":20000000,"cold":3000000000,
"cold_from":0.3,"drain_grace":500000000,"fall_multiple":4,"overload_for":1000000000},"services":[
{"deadline":2500000000,"late_worth":0.1,"name":"lookup","on_time":500000000,"points":1,"semantics":"read_like"},
{"deadline":8000000000,"late_worth":0.6,"name":"report","on_time":3000000000,"points":12,"semantics":"read_like"},
{"deadline":8000000000,"late_worth":0.6,"name":"load","on_time":3000000000,"points":12,"semantics":"non_idempotent"}],
"skus":["std-4"],"tenants":[{"allowance_per_s":100000,"fraction":1,"name":"south-grain"}],"zones":["room-a"]}`

// Classes are the classes of Facts, as clients see them.
var Classes = []Class{
	{Name: "lookup", Share: 0.79, Wait: 2500 * time.Millisecond, Aim: 500 * time.Millisecond, Worth: 1},
	{Name: "report", Share: 0.15, Wait: 8 * time.Second, Aim: 3 * time.Second, Worth: 12},
	{Name: "load", Share: 0.06, Wait: 8 * time.Second, Aim: 3 * time.Second, Worth: 12, Unsafe: true},
}

// Program finds the front end to start: the one named, or the one beside this program.
func Program(named string) (string, error) {
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("drill: %w", err)
		}
		named = filepath.Join(filepath.Dir(self), "gateway")
	}
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("drill: no front end to start: %w (build it with 'make build', or name it with --beechcart)", err)
	}
	return named, nil
}

// FrontOptions are what a front end is started with.
type FrontOptions struct {
	Program   string
	Dir       string // for its files
	Name      string
	Listen    string       // address; empty: any port
	ChangeLog string       // address; may be empty with Settings of Consul
	Settings  string       // operators' settings as built JSON; empty: none
	Line      func(string) // gets each line of its log; may be nil
	MemoryMB  int
	Sockets   int
	Facts     string     // the settings object; empty: Facts
	Env       []string   // further environment
	Files     []*os.File // handed down as descriptors from 3
}

// Listed is a line in which a front end tells of one engine of its list.
type Listed struct {
	At          time.Time // of the line
	Name, State string    // the name without its node
}

var listed = regexp.MustCompile(`time=(\S+) .*msg="engine listed" .*engine=(\S+) .*state=(\S+)`)

// ParseListed reads such a line; false for any other.
func ParseListed(line string) (l Listed, ok bool) {
	m := listed.FindStringSubmatch(line)
	if m == nil {
		return l, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[1])
	return Listed{at, m[2][strings.LastIndexByte(m[2], '/')+1:], m[3]}, err == nil
}

var listening = regexp.MustCompile(`msg=listening .*address=(\S+)`)

// StartFront starts a front end and waits until it listens.
func StartFront(o FrontOptions) (*Front, error) {
	if o.Facts == "" {
		o.Facts = Facts
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,
		"sockets":%d},"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`, o.Name, o.Listen, o.MemoryMB, o.Sockets, o.ChangeLog, o.Facts)
	path := filepath.Join(o.Dir, o.Name+".json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	f := &Front{cmd: exec.Command(o.Program), exit: make(chan error, 1), line: o.Line, ready: make(chan string, 1)}
	settings := ""
	if o.Settings != "" {
		settings = filepath.Join(o.Dir, o.Name+".settings.json")
		if err := os.WriteFile(settings, []byte(o.Settings), 0o600); err != nil {
			return nil, fmt.Errorf("drill: %w", err)
		}
	}
	f.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_LISTEN=", "PROXY_NAME=", "BEECHCART_SETTINGS="+settings)
	f.cmd.Env = append(f.cmd.Env, o.Env...)
	f.cmd.ExtraFiles = o.Files
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	f.cmd.Stdout, f.cmd.Stderr = w, w
	if err := f.cmd.Start(); err != nil {
		r.Close()
		w.Close()
		return nil, fmt.Errorf("drill: %w", err)
	}
	w.Close()
	read := make(chan struct{})
	go func() {
		f.read(r)
		close(read)
	}()
	go func() {
		err := f.cmd.Wait()
		<-read
		f.exit <- err
	}()
	select {
	case f.Addr = <-f.ready:
		return f, nil
	case err := <-f.exit:
		return nil, fmt.Errorf("drill: the front end ended: %w\n%s", err, f.Log())
	case <-time.After(10 * time.Second):
		_ = f.cmd.Process.Kill()
		return nil, fmt.Errorf("drill: the front end does not listen\n%s", f.Log())
	}
}

func (f *Front) read(r io.ReadCloser) {
	defer r.Close()
	for in := bufio.NewScanner(r); in.Scan(); {
		line := in.Text()
		f.mu.Lock()
		fmt.Fprintln(&f.log, line)
		f.mu.Unlock()
		if m := listening.FindStringSubmatch(line); m != nil {
			select {
			case f.ready <- m[1]:
			default:
			}
		}
		if f.line != nil {
			f.line(line)
		}
	}
}

// Log is all that the front end has logged.
func (f *Front) Log() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

// Pid is the process's id.
func (f *Front) Pid() int { return f.cmd.Process.Pid }

// Wait returns once the front end has ended, with its exit code; once, and not beside Stop.
func (f *Front) Wait() int { return cluster.Code(<-f.exit) }

// Broken tells that an invariant of the front end was broken; empty for none.
func (f *Front) Broken() string {
	for _, line := range strings.Split(f.Log(), "\n") {
		if strings.Contains(line, "broken_") || strings.Contains(line, "controller panic") || strings.HasPrefix(line, "panic:") {
			return line
		}
	}
	return ""
}

// errBroken tells that an invariant of the front end was broken.
var errBroken = errors.New("a broken invariant was counted")

// Stop ends the front end as the platform does, and returns an error if it did not end well.
func (f *Front) Stop() error {
	select {
	case err := <-f.exit:
		return fmt.Errorf("the front end ended by itself: %w", err)
	default:
	}
	_ = f.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-f.exit:
		if err != nil {
			return fmt.Errorf("the front end: %w", err)
		}
	case <-time.After(10 * time.Second):
		_ = f.cmd.Process.Kill()
		<-f.exit
		return errors.New("the front end did not end after SIGTERM")
	}
	if f.Broken() != "" {
		return errBroken
	}
	return nil
}
