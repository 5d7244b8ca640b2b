package fleet

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"beechcart/decision/rollout"
)

// maxBody bounds the body of a call, and of its answer.
const maxBody = 16 << 20

// response is what a keeper answers a call with.
type response struct {
	Error  string          `json:"error,omitempty"`
	Leader string          `json:"leader,omitempty"` // where to ask instead
	Value  json.RawMessage `json:"value,omitempty"`
}

// Status is what a keeper knows of the fleet.
type Status struct {
	Replica         string                 `json:"keeper"`
	IsLeader        bool                   `json:"leads"`
	LeaderAddress   string                 `json:"leader,omitempty"` // where it is asked; empty: no agreement
	AppliedIndex    uint64                 `json:"index"`            // of the log, as far as this keeper has applied it
	Servers         []string               `json:"servers"`
	State           rollout.State          `json:"state"`
	Budgets         []rollout.BudgetStatus `json:"budgets"`
	ReleaseBlockers []string               `json:"waiting,omitempty"` // what a release waits for
	DrainBlockers   map[string][]string    `json:"blocks,omitempty"`  // what keeps an engine from being stopped
}

// MemberView is what concerns one member.
type MemberView struct {
	Registered     bool            `json:"known"`
	Incarnation    uint64          `json:"incarnation"`
	StatusSequence uint64          `json:"seq"`
	Phase          rollout.Phase   `json:"phase"`
	Suspected      bool            `json:"doubted"`
	TargetRevision string          `json:"wanted"`
	Permit         *rollout.Permit `json:"permit,omitempty"`
	Drains         []EngineDrain   `json:"drains,omitempty"`
	Release        uint64          `json:"release,omitempty"` // under way, forward
	Target         string          `json:"target,omitempty"`
}

// EngineDrain is an engine that gets nothing more.
type EngineDrain struct {
	Engine       string `json:"engine"`
	Permit       uint64 `json:"permit"`
	Acknowledged bool   `json:"said"` // this member, as the process that it is, has said that nothing of its own is there
}

func memberView(m *rollout.StateMachine, name string) MemberView {
	v := MemberView{}
	if o := m.Members[name]; o != nil {
		v = MemberView{Registered: true, Incarnation: o.Incarnation, StatusSequence: o.StatusSequence, Phase: o.Phase, Suspected: o.Suspected, TargetRevision: o.TargetRevision}
	}
	for _, n := range m.PermitNumbers() {
		p := *m.Permits[n]
		if p.Engine {
			v.Drains = append(v.Drains, EngineDrain{p.Subject, n, p.DrainedBy[name] == v.Incarnation && v.Registered})
		} else if p.Subject == name {
			v.Permit = &p
		}
	}
	if r := m.Release; r != nil && r.State != rollout.Done && !r.RollingBack {
		v.Release, v.Target = r.Number, r.Revision
	}
	return v
}

func (k *ControlReplica) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /apply", k.serve(func(r *http.Request) (any, error) {
		var c rollout.Command
		if err := read(r, &c); err != nil {
			return nil, err
		}
		return k.Apply(c)
	}))
	m.HandleFunc("POST /join", k.serve(func(r *http.Request) (any, error) {
		var w joinRequest
		if err := read(r, &w); err != nil {
			return nil, err
		}
		if !k.isLeader() {
			return nil, errNotLeader
		}
		return nil, k.addReplica(w)
	}))
	m.HandleFunc("POST /counts", k.serve(func(r *http.Request) (any, error) {
		var w WindowCounts
		if err := read(r, &w); err != nil {
			return nil, err
		}
		if !k.isLeader() {
			return nil, errNotLeader
		}
		k.counts.add(w)
		return nil, nil
	}))
	m.HandleFunc("POST /init", k.serve(func(*http.Request) (any, error) { return nil, k.Init() }))
	m.HandleFunc("POST /plan", k.serve(func(r *http.Request) (any, error) {
		var s rollout.StartRelease
		if err := read(r, &s); err != nil {
			return nil, err
		}
		var waves []rollout.Wave
		var err error
		k.readState(func(m *rollout.StateMachine) { waves, err = m.Plan(s) })
		return waves, err
	}))
	m.HandleFunc("GET /status", k.serve(func(*http.Request) (any, error) { return k.Status() }))
	m.HandleFunc("GET /watch", k.serve(func(r *http.Request) (any, error) { return k.watch(r) }))
	return m
}

func read(r *http.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// serve checks the key and answers with what f returns. A call that this keeper can't carry out names the leader.
func (k *ControlReplica) serve(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("X-Key")), []byte(k.options.Key)) != 1 {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		var a response
		v, err := f(r)
		if err == nil {
			a.Value, err = json.Marshal(v)
		}
		if err != nil {
			a.Error = err.Error()
			if errors.Is(err, errNotLeader) {
				a.Leader = k.leaderAddress()
				w.WriteHeader(http.StatusServiceUnavailable)
			} else {
				w.WriteHeader(http.StatusBadRequest)
			}
		}
		_ = json.NewEncoder(w).Encode(a)
	}
}

// Status tells what this keeper knows.
func (k *ControlReplica) Status() (Status, error) {
	s := Status{Replica: k.address.Name, IsLeader: k.isLeader(), LeaderAddress: k.leaderAddress(), AppliedIndex: k.raft.AppliedIndex(), Servers: []string{}, DrainBlockers: map[string][]string{}}
	if f := k.raft.GetConfiguration(); f.Error() == nil {
		for _, o := range f.Configuration().Servers {
			s.Servers = append(s.Servers, string(o.ID))
		}
	}
	var err error
	k.readState(func(m *rollout.StateMachine) {
		var text []byte
		if text, err = m.Snapshot(); err == nil { // a copy: the machine goes on
			err = json.Unmarshal(text, &s.State)
		}
		s.Budgets, s.ReleaseBlockers = m.Budgets(), m.ReleaseBlockers()
		for _, n := range m.PermitNumbers() {
			if b := m.DrainBlockers(n); len(b) > 0 {
				s.DrainBlockers[m.Permits[n].Subject] = b
			}
		}
	})
	return s, err
}

// watchAnswer is a member's view, and what to have when the next is asked for.
type watchAnswer struct {
	View         MemberView `json:"view"`
	Version      string     `json:"have"`
	AppliedIndex uint64     `json:"applied"` // how far this keeper knows the log
}

// watch answers with a member's view once it is another than the one it has, or after a while.
func (k *ControlReplica) watch(r *http.Request) (any, error) {
	name, have := r.URL.Query().Get("name"), r.URL.Query().Get("have")
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		next := k.nextChange()
		var w watchAnswer
		k.readState(func(m *rollout.StateMachine) { w.View, w.AppliedIndex = memberView(m, name), m.Applied })
		text, err := json.Marshal(w.View)
		if err != nil {
			return nil, err
		}
		h := fnv.New64a()
		h.Write(text)
		if w.Version = strconv.FormatUint(h.Sum64(), 36); w.Version != have {
			return w, nil
		}
		select {
		case <-next:
		case <-timer.C:
			return w, nil
		case <-k.stop:
			return nil, errNotLeader
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// RejectedError is a keeper's word that a call is wrong, as against one that can't be carried out now.
type RejectedError struct{ Text string }

func (e *RejectedError) Error() string { return e.Text }

// client calls replicas for members without a [Wire]; connections are kept.
var client = &http.Client{}

// call makes one call to a keeper. An error of another kind than RefusedError tells that another one may be asked.
func call(o *Options, at, path string, in, out any) error {
	wait := callTimeout + commitTimeout
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.dialAddress(at)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("X-Key", o.Key)
	res, err := o.httpClient().Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var a response
	if res.StatusCode == http.StatusForbidden {
		return &RejectedError{at + ": the key is not the fleet's"}
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(&a); err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	switch {
	case res.StatusCode == http.StatusServiceUnavailable:
		return &notLeaderError{a.Leader, a.Error}
	case a.Error != "":
		return &RejectedError{a.Error}
	case out != nil && len(a.Value) > 0:
		return json.Unmarshal(a.Value, out)
	}
	return nil
}

// notLeaderError is a keeper's word that another one may know better.
type notLeaderError struct{ leader, message string }

func (e *notLeaderError) Error() string { return e.message }

// Client asks the keepers of a fleet, one after the other. It is safe for concurrent use.
type Client struct{ opt *Options }

// NewClient returns a client of the keepers that o names; nothing but Keepers, Key and Routes is needed.
func NewClient(o *Options) *Client { return &Client{o} }

// call makes a call at each keeper in turn until one answers, the leader that they name first.
func (c *Client) call(first int, path string, in, out any) error {
	var last error
	tried := map[string]bool{}
	try := func(at string) (done bool) {
		if tried[at] {
			return false
		}
		tried[at] = true
		last = call(c.opt, at, path, in, out)
		var no *RejectedError
		return last == nil || errors.As(last, &no)
	}
	for i := range c.opt.ControlReplicas {
		if try(c.opt.ControlReplicas[(first+i)%len(c.opt.ControlReplicas)].APIAddress) {
			return last
		}
		var e *notLeaderError
		if errors.As(last, &e) && e.leader != "" && try(e.leader) {
			return last
		}
	}
	return fmt.Errorf("fleet: no keeper could be asked: %w", last)
}

// Apply enters a command. An error leaves open whether it was taken: repeat it under the same id.
func (c *Client) Apply(cmd rollout.Command) (r rollout.Result, err error) {
	err = c.call(int(time.Now().UnixNano()/1000)%len(c.opt.ControlReplicas), "/apply", cmd, &r)
	return r, err
}

// Plan tells what a release would do.
func (c *Client) Plan(s rollout.StartRelease) (waves []rollout.Wave, err error) {
	err = c.call(0, "/plan", s, &waves)
	return waves, err
}

// Status asks for the fleet's state: of the leader where there is one, else of the first keeper that answers.
func (c *Client) Status() (s Status, err error) {
	var any error
	found := false
	for _, k := range c.opt.ControlReplicas {
		var one Status
		if err := call(c.opt, k.APIAddress, "/status", nil, &one); err != nil {
			any = err
			continue
		}
		if one.IsLeader {
			return one, nil
		}
		if !found || one.AppliedIndex > s.AppliedIndex {
			s, found = one, true
		}
	}
	if !found {
		return s, fmt.Errorf("fleet: no keeper could be asked: %w", any)
	}
	return s, nil
}

// StatusOf asks one keeper, by its name.
func (c *Client) StatusOf(name string) (s Status, err error) {
	for _, k := range c.opt.ControlReplicas {
		if k.Name == name {
			err = call(c.opt, k.APIAddress, "/status", nil, &s)
			return s, err
		}
	}
	return s, fmt.Errorf("fleet: no keeper has the name %s", name)
}

// Init begins a fleet at the first of its keepers; once, when none of them has a log yet.
func (c *Client) Init() error {
	for _, k := range c.opt.ControlReplicas {
		var s Status
		if err := call(c.opt, k.APIAddress, "/status", nil, &s); err == nil && len(s.Servers) > 0 {
			return &RejectedError{fmt.Sprintf("%s is in a fleet of %d keepers already", k.Name, len(s.Servers))}
		} else if err != nil {
			return fmt.Errorf("fleet: all keepers must be up to begin: %s: %w", k.Name, err)
		}
	}
	return call(c.opt, c.opt.ControlReplicas[0].APIAddress, "/init", struct{}{}, nil)
}
