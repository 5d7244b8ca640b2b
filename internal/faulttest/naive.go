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

// naive is the baseline: it obeys every answer of the catalogue as it is, by way of a change log. A failing check, a
// short list or an empty one takes engines out at once, and an older answer puts them back.
type naive struct {
	log  *changelog.Log
	stop context.CancelFunc
}

func newNaive(catalogue string) (*naive, error) {
	l, err := changelog.Start("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	n := &naive{log: l}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go n.run(ctx, catalogue)
	return n, nil
}

func (n *naive) close() {
	n.stop()
	n.log.Close()
}

// run reads the catalogue as the first lines of its page say, and obeys.
func (n *naive) run(ctx context.Context, catalogue string) {
	index := "0"
	starts := map[string]string{}
	since := map[string]int64{}
	for ctx.Err() == nil {
		list, next, err := read(ctx, catalogue, index)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			continue
		}
		index = next
		var told []changelog.Endpoint
		named := map[string]bool{}
		for _, in := range list {
			e := changelog.Endpoint{Name: in.Service.ID, Address: fmt.Sprintf("%s:%d", in.Node.Address, in.Service.Port), Zone: "room-a",
				Type: "std-4", Status: "ready"}
			if was, ok := starts[e.Name]; ok && was != in.Service.Meta["start"] {
				since[e.Name] = time.Now().UnixMilli()
			}
			named[e.Name] = true
			starts[e.Name], e.SinceMS = in.Service.Meta["start"], since[e.Name]
			for _, c := range in.Checks {
				if strings.HasPrefix(c.CheckID, "_") || c.Status == "critical" {
					e.Status = "draining"
				}
			}
			told = append(told, e)
		}
		for name := range starts {
			if !named[name] {
				told = append(told, changelog.Endpoint{Name: name, Status: "gone"})
				delete(starts, name)
			}
		}
		n.log.Publish(false, told...)
	}
}

func read(ctx context.Context, catalogue, index string) ([]consul.Instance, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+catalogue+"/v1/health/service/"+service+"?wait=5s&index="+index, nil)
	if err != nil {
		return nil, index, err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, index, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, index, fmt.Errorf("status %d", a.StatusCode)
	}
	var list []consul.Instance
	if err := json.NewDecoder(a.Body).Decode(&list); err != nil {
		return nil, index, err
	}
	return list, a.Header.Get("X-Consul-Index"), nil
}
