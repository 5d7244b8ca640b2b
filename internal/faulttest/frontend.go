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

const (
	listenTimeout = 10 * time.Second
	stopTimeout   = 10 * time.Second
)

// FrontEnd is a running front end process.
type FrontEnd struct {
	Addr string // address for clients

	cmd       *exec.Cmd
	exit      chan error  // receives the result of the process, once its log is read
	listening chan string // receives the address
	onLogLine func(string)

	mu  sync.Mutex
	log bytes.Buffer
}

// Settings is the platform's settings object in fault tests: the platform's classes with their real deadlines, and
// engines of four cores.
const Settings = `{"discovery":"push","family_info":{"holds_tables":[false,false,true],"kind_memory_mb":[24576],
"lanes_count":true,
"overbooked":"overcommit","says_cost":true,"size_cores":[4],"tells_every":1000000000,"threads_by_class":[1,2,2],
"waits_for_loads":[true,true,false]},"locality":"room-a","me":0,"replicas_of_me":1,"permissions":{"attempts_cap":3,
"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_retry_after":1000000000,"probes":true},
"reporting":{"columns":["utilization"],"via":"pull"},"rules":{"answer_slack":20000000,"cold":3000000000,
"cold_from":0.3,"drain_grace":500000000,"fall_multiple":4,"overload_for":1000000000},"services":[
{"deadline":2500000000,"late_worth":0.1,"name":"lookup","on_time":500000000,"points":1,"semantics":"read_like"},
{"deadline":8000000000,"late_worth":0.6,"name":"report","on_time":3000000000,"points":12,"semantics":"read_like"},
{"deadline":8000000000,"late_worth":0.6,"name":"load","on_time":3000000000,"points":12,"semantics":"non_idempotent"}],
"skus":["std-4"],"tenants":[{"allowance_per_s":100000,"fraction":1,"name":"south-grain"}],"zones":["room-a"]}`

// Classes are the classes of Settings, as clients see them.
var Classes = []Class{
	{
		Name: "lookup", Share: 0.79, Timeout: 2500 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
		PriorityWeight: 1,
	},
	{Name: "report", Share: 0.15, Timeout: 8 * time.Second, LatencyObjective: 3 * time.Second, PriorityWeight: 12},
	{
		Name: "load", Share: 0.06, Timeout: 8 * time.Second, LatencyObjective: 3 * time.Second, PriorityWeight: 12,
		NonIdempotent: true,
	},
}

// Program returns the path of the front end to start: the named one, or if empty the one in this program's directory.
func Program(named string) (string, error) {
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("faulttest: %w", err)
		}
		named = filepath.Join(filepath.Dir(self), "gateway")
	}
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("faulttest: no front end to start: %w (build it with 'make build', or name it with "+
			"--gateway)", err)
	}
	return named, nil
}

// FrontEndOptions are the options for the start of a front end.
type FrontEndOptions struct {
	Program          string
	Dir              string // for the front end's files
	Name             string
	Listen           string       // address; empty: a free loopback port
	ChangeLog        string       // address; may be empty if OperatorSettings name Consul
	PlatformSettings string       // the settings object; empty: Settings
	OperatorSettings string       // as JSON; empty: none
	OnLogLine        func(string) // called with each line of the log; may be nil
	MemoryMB         int
	Descriptors      int
	Env              []string   // additional environment variables
	Files            []*os.File // inherited as descriptors from 3
}

// EngineListed is a log line that reports the state of one engine in a front end's endpoint list.
type EngineListed struct {
	At          time.Time // time of the line
	Name, State string    // Name is without its node prefix
}

var (
	engineListedLine = regexp.MustCompile(`time=(\S+) .*msg="engine listed" .*engine=(\S+) .*state=(\S+)`)
	listeningLine    = regexp.MustCompile(`msg=listening .*address=(\S+)`)
)

// ParseEngineListed parses an EngineListed line, and returns false for any other line.
func ParseEngineListed(line string) (l EngineListed, ok bool) {
	match := engineListedLine.FindStringSubmatch(line)
	if match == nil {
		return l, false
	}
	at, err := time.Parse(time.RFC3339Nano, match[1])
	return EngineListed{at, match[2][strings.LastIndexByte(match[2], '/')+1:], match[3]}, err == nil
}

// StartFrontEnd starts a front end and waits until it listens.
func StartFrontEnd(o FrontEndOptions) (*FrontEnd, error) {
	cmd, err := o.command()
	if err != nil {
		return nil, fmt.Errorf("faulttest: %w", err)
	}
	f := &FrontEnd{cmd: cmd, exit: make(chan error, 1), listening: make(chan string, 1), onLogLine: o.OnLogLine}
	if err := f.start(); err != nil {
		return nil, fmt.Errorf("faulttest: %w", err)
	}
	select {
	case f.Addr = <-f.listening:
		return f, nil
	case err := <-f.exit:
		return nil, fmt.Errorf("faulttest: the front end ended before it listened: %w\n%s", err, f.Log())
	case <-time.After(listenTimeout):
		_ = f.cmd.Process.Kill()
		return nil, fmt.Errorf("faulttest: the front end did not listen in time; its log:\n%s", f.Log())
	}
}

// command writes the front end's files and returns the command that starts it.
func (o *FrontEndOptions) command() (*exec.Cmd, error) {
	platformSettings, listen := o.PlatformSettings, o.Listen
	if platformSettings == "" {
		platformSettings = Settings
	}
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,
		"sockets":%d},"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`,
		o.Name, listen, o.MemoryMB, o.Descriptors, o.ChangeLog, platformSettings)
	configPath := filepath.Join(o.Dir, o.Name+".json")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		return nil, err
	}
	settingsPath := ""
	if o.OperatorSettings != "" {
		settingsPath = filepath.Join(o.Dir, o.Name+".settings.json")
		if err := os.WriteFile(settingsPath, []byte(o.OperatorSettings), 0o600); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(o.Program)
	cmd.Env = append(os.Environ(),
		"PROXY_CONFIG="+configPath, "PROXY_LISTEN=", "PROXY_NAME=", "BEECHCART_SETTINGS="+settingsPath)
	cmd.Env = append(cmd.Env, o.Env...)
	cmd.ExtraFiles = o.Files
	return cmd, nil
}

// start starts the process, and goroutines that read its log and wait for its end. Both goroutines end with the
// process.
func (f *FrontEnd) start() error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	f.cmd.Stdout, f.cmd.Stderr = writer, writer
	if err := f.cmd.Start(); err != nil {
		return errors.Join(err, reader.Close(), writer.Close())
	}
	_ = writer.Close() // the process has its own descriptor
	logRead := make(chan struct{})
	go func() {
		defer close(logRead)
		f.readLog(reader)
	}()
	go func() {
		err := f.cmd.Wait()
		<-logRead
		f.exit <- err
	}()
	return nil
}

// readLog reads the log until the process has ended.
func (f *FrontEnd) readLog(r io.ReadCloser) {
	defer func() { _ = r.Close() }()
	for lines := bufio.NewScanner(r); lines.Scan(); {
		line := lines.Text()
		f.mu.Lock()
		fmt.Fprintln(&f.log, line)
		f.mu.Unlock()
		if match := listeningLine.FindStringSubmatch(line); match != nil {
			select {
			case f.listening <- match[1]:
			default:
			}
		}
		if f.onLogLine != nil {
			f.onLogLine(line)
		}
	}
}

// Log returns the log of the front end so far.
func (f *FrontEnd) Log() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

// Pid returns the process id.
func (f *FrontEnd) Pid() int { return f.cmd.Process.Pid }

// Wait waits until the front end ends and returns its exit code. It may be called once, and not together with Stop.
func (f *FrontEnd) Wait() int { return cluster.ExitCode(<-f.exit) }

// BrokenInvariant returns the first log line that reports a broken invariant or a panic; empty if there is none.
func (f *FrontEnd) BrokenInvariant() string {
	for _, line := range strings.Split(f.Log(), "\n") {
		if strings.Contains(line, "broken_") || strings.Contains(line, "controller panic") ||
			strings.HasPrefix(line, "panic:") {
			return line
		}
	}
	return ""
}

// errBrokenInvariant is returned for a front end whose log reports a broken invariant or a panic.
var errBrokenInvariant = errors.New("the front end's log reports a broken invariant or a panic")

// Stop ends the front end with SIGTERM, as the platform does. It returns an error if the front end had ended before,
// did not end in time, failed, or broke an invariant.
func (f *FrontEnd) Stop() error {
	select {
	case err := <-f.exit:
		return fmt.Errorf("the front end ended before SIGTERM: %w", err)
	default:
	}
	_ = f.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-f.exit:
		if err != nil {
			return fmt.Errorf("the front end failed after SIGTERM: %w", err)
		}
	case <-time.After(stopTimeout):
		_ = f.cmd.Process.Kill()
		return fmt.Errorf("the front end did not end in time after SIGTERM and was killed: %w", <-f.exit)
	}
	if f.BrokenInvariant() != "" {
		return errBrokenInvariant
	}
	return nil
}
