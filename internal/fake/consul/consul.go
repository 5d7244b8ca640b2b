// Package consul is a fake Consul server, written from the published HTTP API
// (developer.hashicorp.com/consul/api-docs): agent registration, maintenance and TTL checks, catalogue and health reads
// with blocking queries, ACL tokens, and faults that can be set while the server runs. It listens on loopback addresses
// only and keeps its state in memory. The tests of this package drive it with the official Go client.
package consul

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"beechcart/internal/fake/loopback"
)

// Faults are the faults that the server injects into health reads. The zero value injects none.
type Faults struct {
	Delay         time.Duration // added to the time of each response
	Hang          bool          // requests get no response
	Status        int           // HTTP status such as 500 or 429, sent without a list; 0: none
	NoLeader      bool          // responses report that no leader is known
	LastContact   time.Duration // age of the last contact with the leader, as responses report it
	Stale         bool          // reads return the state at the time when Stale was set
	IndexRollback uint64        // subtracted from indexes
	Empty         bool          // lists are empty
	MaxInstances  int           // longest list; 0: no limit
	Truncated     bool          // responses break off in the middle
	Malformed     bool          // responses are not JSON
}

// Server is a running fake server. Its methods are safe for concurrent use.
type Server struct {
	Addr string // host:port

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced by each change of state or faults
	index        uint64
	serviceIndex map[string]uint64 // index of the last write of each service, by name
	nodes        map[string]Node
	services     map[string]map[string]Service // by node and id
	checks       map[string]map[string]Check   // by node and check id
	tokens       map[string]bool               // accepted tokens; nil: none is required
	faults       Faults
	stale        map[string]snapshot // by service, while Faults.Stale
	onAnswer     func(service string, list []Instance)
	reads        int

	http      *http.Server
	stop      chan struct{}
	closeOnce sync.Once
}

type snapshot struct {
	index uint64
	list  []Instance
}

// firstIndex is the index of an empty server. It leaves room for Faults.IndexRollback.
const firstIndex = 10

// AgentNode is the name of the node that the agent API acts on.
const AgentNode = "agent"

// Start serves on an address in 127.0.0.0/8, over TLS unless conf is nil.
func Start(addr string, conf *tls.Config) (*Server, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Addr:         l.Addr().String(),
		changed:      make(chan struct{}),
		index:        firstIndex,
		serviceIndex: map[string]uint64{},
		nodes:        map[string]Node{},
		services:     map[string]map[string]Service{},
		checks:       map[string]map[string]Check{},
		stop:         make(chan struct{}),
	}
	s.putNode(Node{Node: AgentNode, Address: "127.0.0.1", Datacenter: "dc1"})
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	s.http = loopback.Serve(l, s.routes())
	go s.expireChecks()
	return s, nil
}

// Close stops the server and closes every connection. Further calls have no effect.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// SetFaults replaces the faults in force. Blocked queries see the new faults at once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.stale = map[string]snapshot{}
		for name := range s.serviceIndex {
			s.stale[name] = snapshot{s.serviceIndex[name], s.instances(name)}
		}
	}
	s.faults = f
	if f.Empty || f.MaxInstances > 0 || f.IndexRollback > 0 {
		// Blocked queries return only once the index changes, so a faulty list must come with a new index.
		s.index++
		for name := range s.serviceIndex {
			s.serviceIndex[name] = s.index
		}
	}
	s.notifyWaiters()
}

// SetTokens requires one of these tokens for all further requests; without arguments, none is required.
func (s *Server) SetTokens(tokens ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens = nil; tokens != nil {
		s.tokens = map[string]bool{}
		for _, t := range tokens {
			s.tokens[t] = true
		}
	}
	s.notifyWaiters()
}

// OnAnswer sets the function that is called after each complete health response has been written, before the next
// request on the same connection is read.
func (s *Server) OnAnswer(f func(service string, list []Instance)) {
	s.mu.Lock()
	s.onAnswer = f
	s.mu.Unlock()
}

// Reads returns the number of health reads received.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// notifyWaiters wakes blocked queries, which then check the state again. The caller must hold mu.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
