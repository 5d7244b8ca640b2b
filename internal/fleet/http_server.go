package fleet

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"beechcart/decision/rollout"
)

// maxBodyBytes is the largest body of a call or an answer.
const maxBodyBytes = 16 << 20

// keyHeader carries the fleet's key.
const keyHeader = "X-Key"

func (r *ControlReplica) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apply", r.answer(func(request *http.Request) (any, error) {
		var command rollout.Command
		if err := decodeBody(request, &command); err != nil {
			return nil, err
		}
		return r.Apply(command)
	}))
	mux.HandleFunc("POST /join", r.answer(r.serveJoin))
	mux.HandleFunc("POST /counts", r.answer(r.serveCounts))
	mux.HandleFunc("POST /init", r.answer(func(*http.Request) (any, error) { return nil, r.Init() }))
	mux.HandleFunc("POST /plan", r.answer(r.servePlan))
	mux.HandleFunc("GET /status", r.answer(func(*http.Request) (any, error) { return r.Status() }))
	mux.HandleFunc("GET /watch", r.answer(r.serveWatch))
	return mux
}

// decodeBody decodes the JSON body of a call into value, and rejects unknown fields.
func decodeBody(request *http.Request, value any) error {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// answer returns a handler that checks the fleet key and answers with the result of serve. If the call needs the
// leader and this replica does not lead, the answer has status 503 and names the leader's address, where known.
func (r *ControlReplica) answer(serve func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		key := request.Header.Get(keyHeader)
		if subtle.ConstantTimeCompare([]byte(key), []byte(r.options.Key)) != 1 {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		var body response
		value, err := serve(request)
		if err == nil {
			body.Value, err = json.Marshal(value)
		}
		if err != nil {
			body.Error = err.Error()
			if errors.Is(err, errNotLeader) {
				body.Leader = r.leaderAddress()
				w.WriteHeader(http.StatusServiceUnavailable)
			} else {
				w.WriteHeader(http.StatusBadRequest)
			}
		}
		_ = json.NewEncoder(w).Encode(body) // after a failed write, the caller repeats the call
	}
}

func (r *ControlReplica) serveJoin(request *http.Request) (any, error) {
	var join joinRequest
	if err := decodeBody(request, &join); err != nil {
		return nil, err
	}
	if !r.isLeader() {
		return nil, errNotLeader
	}
	return nil, r.addReplica(join)
}

func (r *ControlReplica) serveCounts(request *http.Request) (any, error) {
	var counts WindowCounts
	if err := decodeBody(request, &counts); err != nil {
		return nil, err
	}
	if !r.isLeader() {
		return nil, errNotLeader
	}
	r.counts.add(counts)
	return nil, nil
}

func (r *ControlReplica) servePlan(request *http.Request) (any, error) {
	var start rollout.StartRelease
	if err := decodeBody(request, &start); err != nil {
		return nil, err
	}
	var waves []rollout.Wave
	var err error
	r.readState(func(m *rollout.StateMachine) { waves, err = m.Plan(start) })
	return waves, err
}

// serveWatch answers with a member's view as soon as the view differs from the caller's, or after watchTimeout.
func (r *ControlReplica) serveWatch(request *http.Request) (any, error) {
	name, version := request.URL.Query().Get("name"), request.URL.Query().Get("have")
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		changed := r.nextChange()
		var answer watchAnswer
		r.readState(func(m *rollout.StateMachine) { answer.View, answer.AppliedIndex = memberView(m, name), m.Applied })
		text, err := json.Marshal(answer.View)
		if err != nil {
			return nil, err
		}
		hash := fnv.New64a()
		_, _ = hash.Write(text)
		if answer.Version = strconv.FormatUint(hash.Sum64(), 36); answer.Version != version {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, nil
		case <-r.stop:
			return nil, errNotLeader
		case <-request.Context().Done():
			return nil, request.Context().Err()
		}
	}
}

// Status returns the fleet's state as this replica has applied it.
func (r *ControlReplica) Status() (Status, error) {
	status := Status{
		Replica:       r.address.Name,
		IsLeader:      r.isLeader(),
		LeaderAddress: r.leaderAddress(),
		AppliedIndex:  r.raft.AppliedIndex(),
		Servers:       []string{},
		DrainBlockers: map[string][]string{},
	}
	if f := r.raft.GetConfiguration(); f.Error() == nil {
		for _, server := range f.Configuration().Servers {
			status.Servers = append(status.Servers, string(server.ID))
		}
	}
	var err error
	r.readState(func(m *rollout.StateMachine) {
		var text []byte
		if text, err = m.Snapshot(); err == nil { // a copy, since the state machine keeps changing
			err = json.Unmarshal(text, &status.State)
		}
		status.Budgets, status.ReleaseBlockers = m.Budgets(), m.ReleaseBlockers()
		for _, number := range m.PermitNumbers() {
			if blockers := m.DrainBlockers(number); len(blockers) > 0 {
				status.DrainBlockers[m.Permits[number].Subject] = blockers
			}
		}
	})
	return status, err
}
