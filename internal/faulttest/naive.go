package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/consul"
)

const (
	naiveRetryDelay = 100 * time.Millisecond
	naiveTimeout    = 8 * time.Second // of one read, which blocks for up to 5 s
)

// naiveSource is the baseline policy: it publishes every response of the catalogue unchanged in a change log for the
// front end. A failing check, a partial list or an empty list removes engines at once, and a stale response adds them
// again.
type naiveSource struct {
	catalogue string // host:port
	log       *changelog.Log
	stop      context.CancelFunc

	// State of each engine by name, used by the goroutine of run only.
	starts  map[string]string // start mark of the engine's process
	sinceMS map[string]int64  // when the process was first read, Unix milliseconds; 0: the first process
}

// newNaiveSource starts a source. The caller must close it.
func newNaiveSource(catalogue string) (*naiveSource, error) {
	log, err := changelog.Start("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faulttest: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &naiveSource{
		catalogue: catalogue, log: log, stop: stop, starts: map[string]string{}, sinceMS: map[string]int64{},
	}
	go n.run(ctx)
	return n, nil
}

func (n *naiveSource) close() {
	n.stop()
	n.log.Close()
}

// run reads the catalogue and publishes each list until ctx ends.
func (n *naiveSource) run(ctx context.Context) {
	index := "0"
	for ctx.Err() == nil {
		list, next, err := n.read(ctx, index)
		if err != nil {
			sleep(ctx, naiveRetryDelay)
			continue
		}
		index = next
		n.log.Publish(false, n.changes(list)...)
	}
}

// changes translates a list of the catalogue into endpoints for the change log. Known engines that are missing from the
// list are published as gone.
func (n *naiveSource) changes(list []consul.Instance) (changes []changelog.Endpoint) {
	listed := map[string]bool{}
	for _, instance := range list {
		e := n.endpoint(instance)
		listed[e.Name] = true
		changes = append(changes, e)
	}
	for name := range n.starts {
		if !listed[name] {
			changes = append(changes, changelog.Endpoint{Name: name, Status: "gone"})
			delete(n.starts, name)
		}
	}
	return changes
}

// endpoint translates one instance. An engine under maintenance or with a critical check is draining.
func (n *naiveSource) endpoint(instance consul.Instance) changelog.Endpoint {
	e := changelog.Endpoint{
		Name:    instance.Service.ID,
		Address: fmt.Sprintf("%s:%d", instance.Node.Address, instance.Service.Port),
		Zone:    "room-a",
		Type:    "std-4",
		Status:  "ready",
	}
	start := instance.Service.Meta["start"]
	if known, ok := n.starts[e.Name]; ok && known != start {
		n.sinceMS[e.Name] = time.Now().UnixMilli()
	}
	n.starts[e.Name] = start
	e.SinceMS = n.sinceMS[e.Name]
	for _, c := range instance.Checks {
		if strings.HasPrefix(c.CheckID, "_") || c.Status == checkCritical {
			e.Status = "draining"
		}
	}
	return e
}

// read makes a blocking query for the list after an index, and returns the list with its own index.
func (n *naiveSource) read(ctx context.Context, index string) ([]consul.Instance, string, error) {
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	url := "http://" + n.catalogue + "/v1/health/service/" + serviceName + "?wait=5s&index=" + index
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, index, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, index, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, index, fmt.Errorf("status %d", response.StatusCode)
	}
	var list []consul.Instance
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, index, err
	}
	return list, response.Header.Get("X-Consul-Index"), nil
}
