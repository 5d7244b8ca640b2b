package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"beechcart/decision/rollout"
)

// RejectedError is a replica's rejection of a call. Every other replica would reject the call too.
type RejectedError struct{ Text string }

func (e *RejectedError) Error() string { return e.Text }

// notLeaderError is the answer of a replica that can't execute a call that another replica may execute.
type notLeaderError struct {
	leader  string // address of the leader's HTTP interface; empty: unknown
	message string
}

func (e *notLeaderError) Error() string { return e.message }

// sharedClient calls replicas for all members without a [Transport]. It reuses connections.
var sharedClient = &http.Client{}

// call makes one call to a replica: a POST of the request, or a GET if the request is nil. After any error other than
// a RejectedError, another replica may be called.
func call(o *Options, address, path string, request, result any) error {
	method, body := http.MethodGet, []byte(nil)
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return err
		}
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+commitTimeout)
	defer cancel()
	url := "http://" + o.dialAddress(address) + path
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpRequest.Header.Set(keyHeader, o.Key)
	httpResponse, err := o.httpClient().Do(httpRequest)
	if err != nil {
		return err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	return decodeResponse(httpResponse, address, result)
}

// decodeResponse decodes the value of an answer into result, which may be nil.
func decodeResponse(httpResponse *http.Response, address string, result any) error {
	if httpResponse.StatusCode == http.StatusForbidden {
		return &RejectedError{address + ": control replica rejected the fleet key"}
	}
	var body response
	if err := json.NewDecoder(io.LimitReader(httpResponse.Body, maxBodyBytes)).Decode(&body); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	switch {
	case httpResponse.StatusCode == http.StatusServiceUnavailable:
		return &notLeaderError{body.Leader, body.Error}
	case body.Error != "":
		return &RejectedError{body.Error}
	case result != nil && len(body.Value) > 0:
		return json.Unmarshal(body.Value, result)
	}
	return nil
}

// Client calls the control replicas of a fleet, one at a time. It is safe for concurrent use.
type Client struct{ options *Options }

// NewClient returns a client of o.ControlReplicas. The client also uses the options Key, DialOverrides and Transport,
// and no others.
func NewClient(o *Options) *Client { return &Client{o} }

// call calls the replicas in turn, starting at index first, until one executes or rejects the call. If a replica names
// the leader, the leader is called next. Each address is called at most once.
func (c *Client) call(first int, path string, request, result any) error {
	replicas := c.options.ControlReplicas
	called := map[string]bool{}
	var last error
	tryReplica := func(address string) (done bool) {
		if called[address] {
			return false
		}
		called[address] = true
		last = call(c.options, address, path, request, result)
		var rejected *RejectedError
		return last == nil || errors.As(last, &rejected)
	}
	for i := range replicas {
		if tryReplica(replicas[(first+i)%len(replicas)].APIAddress) {
			return last
		}
		var notLeader *notLeaderError
		if errors.As(last, &notLeader) && notLeader.leader != "" && tryReplica(notLeader.leader) {
			return last
		}
	}
	return fmt.Errorf("fleet: no keeper could be asked: %w", last)
}

// Apply sends a command. After an error, it is unknown whether the command was executed: send the command again under
// the same id.
func (c *Client) Apply(command rollout.Command) (result rollout.Result, err error) {
	anyReplica := int(time.Now().UnixMicro()) % len(c.options.ControlReplicas)
	err = c.call(anyReplica, "/apply", command, &result)
	return result, err
}

// Plan returns the waves of a release without starting it.
func (c *Client) Plan(start rollout.StartRelease) (waves []rollout.Wave, err error) {
	err = c.call(0, "/plan", start, &waves)
	return waves, err
}

// Status returns the status of the leader or, if no leader answers, of the answering replica with the highest applied
// index.
func (c *Client) Status() (Status, error) {
	var latest Status
	var last error
	found := false
	for _, replica := range c.options.ControlReplicas {
		var status Status
		if err := call(c.options, replica.APIAddress, "/status", nil, &status); err != nil {
			last = err
			continue
		}
		if status.IsLeader {
			return status, nil
		}
		if !found || status.AppliedIndex > latest.AppliedIndex {
			latest, found = status, true
		}
	}
	if !found {
		return latest, fmt.Errorf("fleet: no keeper could be asked: %w", last)
	}
	return latest, nil
}

// StatusOf returns the status of the replica of that name.
func (c *Client) StatusOf(name string) (status Status, err error) {
	for _, replica := range c.options.ControlReplicas {
		if replica.Name == name {
			err = call(c.options, replica.APIAddress, "/status", nil, &status)
			return status, err
		}
	}
	return status, fmt.Errorf("fleet: keepers: found no control replica named %s", name)
}

// Init starts a new fleet at the first control replica. Every control replica must answer, and none may have a log
// yet.
func (c *Client) Init() error {
	replicas := c.options.ControlReplicas
	for _, replica := range replicas {
		var status Status
		if err := call(c.options, replica.APIAddress, "/status", nil, &status); err != nil {
			return fmt.Errorf("fleet: init: all control replicas must answer: %s: %w", replica.Name, err)
		}
		if servers := len(status.Servers); servers > 0 {
			return &RejectedError{fmt.Sprintf("%s already belongs to a fleet of %d control replicas", replica.Name, servers)}
		}
	}
	return call(c.options, replicas[0].APIAddress, "/init", struct{}{}, nil)
}
