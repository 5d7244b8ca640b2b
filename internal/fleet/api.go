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

// mostCall bounds the body of a call, and of its answer.
const mostCall = 16 << 20

// answer is what a keeper answers a call with.
type answer struct {
	Error  string          `json:"error,omitempty"`
	Leader string          `json:"leader,omitempty"` // where to ask instead
	Value  json.RawMessage `json:"value,omitempty"`
}

// Status is what a keeper knows of the fleet.
type Status struct {
	Keeper  string                 `json:"keeper"`
	Leads   bool                   `json:"leads"`
	Leader  string                 `json:"leader,omitempty"` // where it is asked; empty: no agreement
	Index   uint64                 `json:"index"`            // of the log, as far as this keeper has applied it
	Servers []string               `json:"servers"`
	State   rollout.State          `json:"state"`
	Budgets []rollout.BudgetStatus `json:"budgets"`
	Waiting []string               `json:"waiting,omitempty"` // what a release waits for
	Blocks  map[string][]string    `json:"blocks,omitempty"`  // what keeps an engine from being stopped
}

// View is what concerns one member.
type View struct {
	Known       bool            `json:"known"`
	Incarnation uint64          `json:"incarnation"`
	Seq         uint64          `json:"seq"`
	Phase       rollout.Phase   `json:"phase"`
	Doubted     bool            `json:"doubted"`
	Wanted      string          `json:"wanted"`
	Permit      *rollout.Permit `json:"permit,omitempty"`
	Drains      []Drained       `json:"drains,omitempty"`
	Release     uint64          `json:"release,omitempty"` // under way, forward
	Target      string          `json:"target,omitempty"`
}

// Drained is an engine that gets nothing more.
type Drained struct {
	Engine string `json:"engine"`
	Permit uint64 `json:"permit"`
	Said   bool   `json:"said"` // this member, as the process that it is, has said that nothing of its own is there
}

func viewOf(m *rollout.StateMachine, name string) View {
	v := View{}
	if o := m.Members[name]; o != nil {
		v = View{Known: true, Incarnation: o.Incarnation, Seq: o.StatusSequence, Phase: o.Phase, Doubted: o.Suspected, Wanted: o.TargetRevision}
	}
	for _, n := range m.PermitNumbers() {
		p := *m.Permits[n]
		if p.Engine {
			v.Drains = append(v.Drains, Drained{p.Subject, n, p.DrainedBy[name] == v.Incarnation && v.Known})
		} else if p.Subject == name {
			v.Permit = &p
		}
	}
	if r := m.Release; r != nil && r.State != rollout.Done && !r.RollingBack {
		v.Release, v.Target = r.Number, r.Revision
	}
	return v
}

func (k *Keeper) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /apply", k.serve(func(r *http.Request) (any, error) {
		var c rollout.Command
		if err := read(r, &c); err != nil {
			return nil, err
		}
		return k.Apply(c)
	}))
	m.HandleFunc("POST /join", k.serve(func(r *http.Request) (any, error) {
		var w joinWord
		if err := read(r, &w); err != nil {
			return nil, err
		}
		if !k.leads() {
			return nil, errNoLeader
		}
		return nil, k.admit(w)
	}))
	m.HandleFunc("POST /counts", k.serve(func(r *http.Request) (any, error) {
		var w Counts
		if err := read(r, &w); err != nil {
			return nil, err
		}
		if !k.leads() {
			return nil, errNoLeader
		}
		k.counts.take(w)
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
		k.look(func(m *rollout.StateMachine) { waves, err = m.Plan(s) })
		return waves, err
	}))
	m.HandleFunc("GET /status", k.serve(func(*http.Request) (any, error) { return k.Status() }))
	m.HandleFunc("GET /watch", k.serve(func(r *http.Request) (any, error) { return k.watch(r) }))
	return m
}

func read(r *http.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, mostCall))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// serve checks the key and answers with what f returns. A call that this keeper can't carry out names the leader.
func (k *Keeper) serve(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("X-Key")), []byte(k.opt.Key)) != 1 {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		var a answer
		v, err := f(r)
		if err == nil {
			a.Value, err = json.Marshal(v)
		}
		if err != nil {
			a.Error = err.Error()
			if errors.Is(err, errNoLeader) {
				a.Leader = k.leader()
				w.WriteHeader(http.StatusServiceUnavailable)
			} else {
				w.WriteHeader(http.StatusBadRequest)
			}
		}
		_ = json.NewEncoder(w).Encode(a)
	}
}

// Status tells what this keeper knows.
func (k *Keeper) Status() (Status, error) {
	s := Status{Keeper: k.me.Name, Leads: k.leads(), Leader: k.leader(), Index: k.raft.AppliedIndex(), Servers: []string{}, Blocks: map[string][]string{}}
	if f := k.raft.GetConfiguration(); f.Error() == nil {
		for _, o := range f.Configuration().Servers {
			s.Servers = append(s.Servers, string(o.ID))
		}
	}
	var err error
	k.look(func(m *rollout.StateMachine) {
		var text []byte
		if text, err = m.Snapshot(); err == nil { // a copy: the machine goes on
			err = json.Unmarshal(text, &s.State)
		}
		s.Budgets, s.Waiting = m.Budgets(), m.ReleaseBlockers()
		for _, n := range m.PermitNumbers() {
			if b := m.DrainBlockers(n); len(b) > 0 {
				s.Blocks[m.Permits[n].Subject] = b
			}
		}
	})
	return s, err
}

// watched is a member's view, and what to have when the next is asked for.
type watched struct {
	View    View   `json:"view"`
	Have    string `json:"have"`
	Applied uint64 `json:"applied"` // how far this keeper knows the log
}

// watch answers with a member's view once it is another than the one it has, or after a while.
func (k *Keeper) watch(r *http.Request) (any, error) {
	name, have := r.URL.Query().Get("name"), r.URL.Query().Get("have")
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		next := k.next()
		var w watched
		k.look(func(m *rollout.StateMachine) { w.View, w.Applied = viewOf(m, name), m.Applied })
		text, err := json.Marshal(w.View)
		if err != nil {
			return nil, err
		}
		h := fnv.New64a()
		h.Write(text)
		if w.Have = strconv.FormatUint(h.Sum64(), 36); w.Have != have {
			return w, nil
		}
		select {
		case <-next:
		case <-timer.C:
			return w, nil
		case <-k.stop:
			return nil, errNoLeader
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// RefusedError is a keeper's word that a call is wrong, as against one that can't be carried out now.
type RefusedError struct{ Text string }

func (e *RefusedError) Error() string { return e.Text }

// client calls replicas for members without a [Wire]; connections are kept.
var client = &http.Client{}

// call makes one call to a keeper. An error of another kind than RefusedError tells that another one may be asked.
func call(o *Options, at, path string, in, out any) error {
	wait := askWait + agreeWait
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
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.route(at)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("X-Key", o.Key)
	res, err := o.httpClient().Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var a answer
	if res.StatusCode == http.StatusForbidden {
		return &RefusedError{at + ": the key is not the fleet's"}
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, mostCall)).Decode(&a); err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	switch {
	case res.StatusCode == http.StatusServiceUnavailable:
		return &elsewhere{a.Leader, a.Error}
	case a.Error != "":
		return &RefusedError{a.Error}
	case out != nil && len(a.Value) > 0:
		return json.Unmarshal(a.Value, out)
	}
	return nil
}

// elsewhere is a keeper's word that another one may know better.
type elsewhere struct{ leader, text string }

func (e *elsewhere) Error() string { return e.text }

// Client asks the keepers of a fleet, one after the other. It is safe for concurrent use.
type Client struct{ opt *Options }

// NewClient returns a client of the keepers that o names; nothing but Keepers, Key and Routes is needed.
func NewClient(o *Options) *Client { return &Client{o} }

// ask makes a call at each keeper in turn until one answers, the leader that they name first.
func (c *Client) ask(first int, path string, in, out any) error {
	var last error
	tried := map[string]bool{}
	try := func(at string) (done bool) {
		if tried[at] {
			return false
		}
		tried[at] = true
		last = call(c.opt, at, path, in, out)
		var no *RefusedError
		return last == nil || errors.As(last, &no)
	}
	for i := range c.opt.Keepers {
		if try(c.opt.Keepers[(first+i)%len(c.opt.Keepers)].Ask) {
			return last
		}
		var e *elsewhere
		if errors.As(last, &e) && e.leader != "" && try(e.leader) {
			return last
		}
	}
	return fmt.Errorf("fleet: no keeper could be asked: %w", last)
}

// Apply enters a command. An error leaves open whether it was taken: repeat it under the same id.
func (c *Client) Apply(cmd rollout.Command) (r rollout.Result, err error) {
	err = c.ask(int(time.Now().UnixNano()/1000)%len(c.opt.Keepers), "/apply", cmd, &r)
	return r, err
}

// Plan tells what a release would do.
func (c *Client) Plan(s rollout.StartRelease) (waves []rollout.Wave, err error) {
	err = c.ask(0, "/plan", s, &waves)
	return waves, err
}

// Status asks for the fleet's state: of the leader where there is one, else of the first keeper that answers.
func (c *Client) Status() (s Status, err error) {
	var any error
	found := false
	for _, k := range c.opt.Keepers {
		var one Status
		if err := call(c.opt, k.Ask, "/status", nil, &one); err != nil {
			any = err
			continue
		}
		if one.Leads {
			return one, nil
		}
		if !found || one.Index > s.Index {
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
	for _, k := range c.opt.Keepers {
		if k.Name == name {
			err = call(c.opt, k.Ask, "/status", nil, &s)
			return s, err
		}
	}
	return s, fmt.Errorf("fleet: no keeper has the name %s", name)
}

// Init begins a fleet at the first of its keepers; once, when none of them has a log yet.
func (c *Client) Init() error {
	for _, k := range c.opt.Keepers {
		var s Status
		if err := call(c.opt, k.Ask, "/status", nil, &s); err == nil && len(s.Servers) > 0 {
			return &RefusedError{fmt.Sprintf("%s is in a fleet of %d keepers already", k.Name, len(s.Servers))}
		} else if err != nil {
			return fmt.Errorf("fleet: all keepers must be up to begin: %s: %w", k.Name, err)
		}
	}
	return call(c.opt, c.opt.Keepers[0].Ask, "/init", struct{}{}, nil)
}
