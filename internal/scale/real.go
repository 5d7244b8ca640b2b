package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/engine"
	"beechcart/internal/faulttest"
	"beechcart/internal/fleet"
)

// fakeServers holds the fake databases and the change log that lists them, all in this process. Real front ends probe
// the databases.
type fakeServers struct {
	log     *changelog.Log
	engines []*engine.Engine
}

// startFakeServers starts a fake server for each database and lists them all.
func startFakeServers(engines []EngineConfig) (*fakeServers, error) {
	s := &fakeServers{}
	var err error
	if s.log, err = changelog.Start("127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	var list []changelog.Endpoint
	for _, e := range engines {
		server, err := engine.Start("127.0.0.1:0", engine.Options{Name: e.Name, Cores: int(e.Cores), MaxQueries: 64})
		if err != nil {
			s.close()
			return nil, fmt.Errorf("scale: %w", err)
		}
		s.engines = append(s.engines, server)
		list = append(list, changelog.Endpoint{Name: e.Name, Address: server.Addr, Zone: e.Zone, Type: "std-4",
			Status: "ready"})
	}
	s.log.Publish(true, list...)
	return s, nil
}

func (s *fakeServers) close() {
	for _, e := range s.engines {
		e.Kill()
	}
	s.log.Close()
}

// realFrontEnd is a gateway process and the state of drains that its log reports.
type realFrontEnd struct {
	name  string
	front *faulttest.FrontEnd

	mu      sync.Mutex
	inForce map[string]time.Time // by excluded database: when the exclusion began
	lifted  map[string]int       // by database: number of exclusions that ended
}

// handleLogLine updates the exclusions from one line of the front end's log.
func (f *realFrontEnd) handleLogLine(line string) {
	listed, ok := faulttest.ParseEngineListed(line)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, was := f.inForce[listed.Name]
	switch excluded := listed.State != "ready"; {
	case excluded && !was:
		f.inForce[listed.Name] = listed.At
	case !excluded && was:
		delete(f.inForce, listed.Name)
		f.lifted[listed.Name]++
	}
}

// since returns when the drain of a database came into force at the front end; false if it is not in force.
func (f *realFrontEnd) since(engine string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.inForce[engine]
	return at, ok
}

// fleetSettings is the fleet section of the operators' settings, with the names that internal/operatorconfig reads.
type fleetSettings struct {
	Gossip   string            `json:"gossip"`
	Zone     string            `json:"room"`
	Revision string            `json:"revision"`
	Weight   int               `json:"weight"`
	KeyFile  string            `json:"key_file"`
	Replicas []replicaSettings `json:"keepers"`
}

type replicaSettings struct {
	Name   string `json:"name"`
	Log    string `json:"log"`
	Ask    string `json:"ask"`
	Gossip string `json:"gossip"`
}

func operatorSettings(m plannedMember, replicas []fleet.ReplicaAddress, keyFile string) (string, error) {
	part := fleetSettings{Gossip: m.Gossip, Zone: m.Zone, Revision: revision, Weight: 100, KeyFile: keyFile}
	for _, r := range replicas {
		part.Replicas = append(part.Replicas, replicaSettings{r.Name, r.LogAddress, r.APIAddress, r.GossipAddress})
	}
	text, err := json.Marshal(struct {
		Schema int           `json:"schema"`
		Fleet  fleetSettings `json:"fleet"`
	}{1, part})
	if err != nil {
		return "", fmt.Errorf("scale: %w", err)
	}
	return string(text), nil
}

// startRealFrontEnd starts a gateway at the member's address and returns once the gateway listens.
func startRealFrontEnd(o *Options, l *layout, m plannedMember, changeLog, dir string) (*realFrontEnd, error) {
	keyFile := filepath.Join(dir, "key")
	if err := os.WriteFile(keyFile, []byte(l.key), 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	settings, err := operatorSettings(m, l.replicas, keyFile)
	if err != nil {
		return nil, err
	}
	var zones []string
	for _, z := range l.zones {
		zones = append(zones, fmt.Sprintf("%q", z.Zone))
	}
	facts := strings.Replace(faulttest.Settings, `"locality":"room-a"`, fmt.Sprintf(`"locality":%q`, m.Zone), 1)
	facts = strings.Replace(facts, `"zones":["room-a"]`, `"zones":[`+strings.Join(zones, ",")+`]`, 1)
	f := &realFrontEnd{name: m.Name, inForce: map[string]time.Time{}, lifted: map[string]int{}}
	f.front, err = faulttest.StartFrontEnd(faulttest.FrontEndOptions{Program: o.Program, Dir: dir, Name: m.Name,
		Listen:    at(m.host, servePort),
		ChangeLog: changeLog, MemoryMB: 256, Descriptors: 4096, PlatformSettings: facts, OperatorSettings: settings,
		OnLogLine: f.handleLogLine})
	return f, err
}

// residentBytesOf returns the resident set size of a process, from /proc; 0 if the process has exited.
func residentBytesOf(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident uint64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * uint64(os.Getpagesize())
}
