// Package consul is a fake of a Consul server, made from the published HTTP API
// (developer.hashicorp.com/consul/api-docs): agent registration, maintenance and TTL checks, catalogue and health reads
// with blocking queries, ACL tokens, and faults that are set while it runs. It listens on loopback addresses only and
// keeps everything in memory. Its own tests drive it with the published Go client.
package consul

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"beechcart/internal/fake/loopback"
)

// Faults are those of reads, while they are set.
type Faults struct {
	Delay         time.Duration // each answer comes so much later
	Hang          bool          // no answer comes
	Status        int           // such as 500 or 429, with no list
	NoLeader      bool          // answers tell that no leader is known
	LastContact   time.Duration // ... and that the leader was last heard of so long ago
	Stale         bool          // reads answer from the state at which Stale was set
	IndexRollback uint64        // indexes are so much lower
	Empty         bool          // lists are empty
	MaxInstances  int           // of a list; 0: all
	Truncated     bool          // answers break off in the middle
	Malformed     bool          // answers are no JSON
}

// Server is one fake server. Its methods are safe for concurrent use.
type Server struct {
	Addr string // host:port

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change of state or faults
	index        uint64
	serviceIndex map[string]uint64 // the index of the last write of each service
	nodes        map[string]Node
	services     map[string]map[string]Service // by node and id
	checks       map[string]map[string]Check   // by node and check id
	tokens       map[string]bool               // accepted; nil: none is needed
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

// firstIndex is that of an empty server. It leaves room for Faults.IndexRollback.
const firstIndex = 10

// AgentNode is the node that the agent's own calls speak of.
const AgentNode = "agent"

// Start begins to serve on an address of 127.0.0.0/8; conf may be nil.
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

// Close ends the server and every connection. It may be called again.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// SetFaults replaces the faults in force. Calls that wait see them at once.
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
		// Blocked queries return only once the index changes, so a faulty list has to look like a write.
		s.index++
		for name := range s.serviceIndex {
			s.serviceIndex[name] = s.index
		}
	}
	s.notifyWaiters()
}

// SetTokens asks for one of these tokens from now on; nil asks for none.
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

// OnAnswer is called with each whole answer of health that has been written, before the next call is read.
func (s *Server) OnAnswer(f func(service string, list []Instance)) {
	s.mu.Lock()
	s.onAnswer = f
	s.mu.Unlock()
}

// Reads tells how many reads of health have come.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// notifyWaiters lets blocked queries look at the state again. The caller must hold mu.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
