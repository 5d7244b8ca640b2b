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
	naiveTimeout    = 8 * time.Second // of one read, which waits for 5 s at the catalogue
)

// naiveSource is the baseline: it obeys every answer of the catalogue as it is, by way of a change log. A failing
// check, a short list or an empty one takes engines out at once, and an older answer puts them back.
type naiveSource struct {
	catalogue string // host:port
	log       *changelog.Log
	stop      context.CancelFunc

	// What the goroutine of run knows of each engine, by name.
	starts  map[string]string // mark of its process
	sinceMS map[string]int64  // when its process was seen first; 0: it was there from the start
}

// newNaiveSource starts a source. close ends it.
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

// changes translates a list of the catalogue. Engines that it does not name are gone.
func (n *naiveSource) changes(list []consul.Instance) (changes []changelog.Endpoint) {
	named := map[string]bool{}
	for _, instance := range list {
		e := n.endpoint(instance)
		named[e.Name] = true
		changes = append(changes, e)
	}
	for name := range n.starts {
		if !named[name] {
			changes = append(changes, changelog.Endpoint{Name: name, Status: "gone"})
			delete(n.starts, name)
		}
	}
	return changes
}

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

// read asks the catalogue for the list after an index, and returns it with its own.
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
