package parts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"beechcart/admission"
	"beechcart/decision/watchtimeout"
	"beechcart/internal/endpoints"
	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/consul"
	"beechcart/internal/faulttest"
	"beechcart/internal/platformconfig"
	"beechcart/internal/scale/record"
)

const (
	listSeed      = 1
	startedMillis = 1_770_000_000_000 // Unix time, in ms, at which the listed databases started
	pollTimeout   = 10 * time.Millisecond
)

// endpointOf returns the change log's entry of database i. Its address is as long as a real one.
func endpointOf(i int, status string) changelog.Endpoint {
	return changelog.Endpoint{Name: engineName(i), Address: fmt.Sprintf("10.%d.%d.%d:8400", 20+i%zones, i/200,
		10+i%200), Zone: zoneName(i), Type: "std-4",
		Status: status, SinceMS: startedMillis + int64(i)}
}

func endpointsOf(n int) (list []changelog.Endpoint) {
	for i := range n {
		list = append(list, endpointOf(i, "ready"))
	}
	return list
}

// settingsOf returns the settings of front end number me in a fleet of the given size.
func settingsOf(me, members int) (admission.Settings, platformconfig.Names, error) {
	set, names, err := platformconfig.Parse([]byte(faulttest.Settings))
	set.Me, set.Replicas = me, members
	for i := range set.Tenants {
		set.Tenants[i].RequestsPerSecond = 2 * PlannedRate * float64(members)
	}
	return set, names, err
}

// measureLists measures the bytes of endpoint lists at their source, and the CPU that a front end needs to read them.
func measureLists(ctx context.Context, o *Options, c *collector) error {
	c.note("bytes are those of the HTTP streams, question and answer, without headers of IP and TCP; entries are " +
		"written by the fake change log and the fake Consul")
	c.note("CPU of a list: the change log's reader (internal/endpoints) and the controller's step (admission), in " +
		"this process")
	return o.forEachSize(ctx, c, record.ChangeLog, func(p sizeRun) error {
		if err := measureChangeLog(ctx, p); err != nil {
			return err
		}
		if err := measureCatalogue(ctx, p); err != nil {
			return err
		}
		return measureListCPU(p)
	})
}

// fetch returns the body of a GET response, and the bytes of request and response. The request has no header except
// Host, like a front end's request to the change log (internal/engine).
func fetch(ctx context.Context, url string) (body []byte, transferred float64, err error) {
	var traffic byteCounter
	client := traffic.client(1)
	client.Transport.(*http.Transport).DisableCompression = true
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("User-Agent", "")
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if body, err = io.ReadAll(response.Body); err != nil {
		return nil, 0, err
	}
	return body, traffic.bytes(), nil
}

// measureChangeLog measures the bytes of a complete list, of the change of one database, and of a poll without
// events.
func measureChangeLog(ctx context.Context, p sizeRun) error {
	log, err := changelog.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer log.Close()
	log.Publish(true, endpointsOf(p.size.Engines)...)
	log.Publish(false, endpointOf(0, "draining"))
	poll := func(since int) (float64, error) {
		_, transferred, err := fetch(ctx, fmt.Sprintf("http://%s/changes?since=%d&timeout=%d", log.Addr, since,
			pollTimeout.Milliseconds()))
		return transferred, err
	}
	listAndEvent, err := poll(0)
	if err != nil {
		return err
	}
	event, err := poll(1)
	if err != nil {
		return err
	}
	idlePoll, err := poll(2)
	if err != nil {
		return err
	}
	p.add("change_log_list_bytes", listAndEvent-event+idlePoll)
	p.add("change_log_event_bytes", event)
	p.add("change_log_idle_poll_bytes", idlePoll)
	set, _, err := settingsOf(0, p.size.Members)
	if err != nil {
		return err
	}
	interval := watchtimeout.New(set.DrainGrace, 250*time.Millisecond).PollWait()
	p.withRole(record.FrontEnd).add("change_log_idle_polls_per_second", 1/interval.Seconds())
	p.withRole(record.FrontEnd).add("change_log_idle_bytes_per_second", idlePoll/interval.Seconds())
	return nil
}

// measureCatalogue measures the bytes of one read of a Consul catalogue, which always returns the complete list.
func measureCatalogue(ctx context.Context, p sizeRun) error {
	server, err := consul.Start("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	defer server.Close()
	register(server, p.size.Engines)
	body, transferred, err := fetch(ctx, "http://"+server.Addr+"/v1/health/service/engine")
	if err != nil {
		return err
	}
	var instances []json.RawMessage
	if err := json.Unmarshal(body, &instances); err != nil || len(instances) != p.size.Engines {
		return fmt.Errorf("catalogue: found %d databases, expected %d: %w", len(instances), p.size.Engines, err)
	}
	p.add("consul_list_bytes", transferred)
	return nil
}

// register adds the given number of databases to a catalogue, each on a separate node.
func register(server *consul.Server, engines int) {
	for i := range engines {
		e := endpointOf(i, "ready")
		server.Register(consul.Node{Node: "node-" + strconv.Itoa(i), Address: fmt.Sprintf("127.1.%d.%d", i/200, 1+i%200),
			Datacenter: "dc1"},
			consul.Service{ID: e.Name, Service: "engine", Port: 8400, Meta: map[string]string{"zone": e.Zone, "kind": e.Type}},
			consul.Check{CheckID: "service:" + e.Name, Name: "Service 'engine' check", Status: "passing"})
	}
}

// measureListCPU measures the CPU of reading a complete list, and of the change of one database.
func measureListCPU(p sizeRun) error {
	set, names, err := settingsOf(0, p.size.Members)
	if err != nil {
		return err
	}
	controller, err := admission.New(set, listSeed)
	if err != nil {
		return err
	}
	text, err := listText(p.size.Engines)
	if err != nil {
		return err
	}
	now := time.Duration(startedMillis) * time.Millisecond
	apply := func(changes *endpoints.ChangeLog, text []byte) error {
		lists, err := changes.Read(text)
		if err != nil {
			return err
		}
		for _, list := range lists {
			now += time.Millisecond
			controller.Step(now, []admission.Event{list.Event()})
		}
		return nil
	}
	listCPU, err := cpuPerCall(func() error { return apply(endpoints.NewChangeLog(names), text) })
	if err != nil {
		return err
	}
	changes := endpoints.NewChangeLog(names)
	eventCPU, err := cpuPerCall(func() error {
		seq := changes.Seq() + 2 // starts at 2, since event 1 is read as a complete list
		status := []string{"draining", "ready"}[seq%2]
		return apply(changes, fmt.Appendf(nil, `{"seq":%d,"results":[{"seq":%d,"fleet":{"endpoints":[%s]}}]}`, seq, seq,
			eventText(0, status)))
	})
	if err != nil {
		return err
	}
	p.withRole(record.FrontEnd).add("list_read_cpu_seconds", listCPU)
	p.withRole(record.FrontEnd).add("list_event_cpu_seconds", eventCPU)
	return nil
}

// listText returns the change log's response with one complete list.
func listText(engines int) ([]byte, error) {
	log, err := changelog.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer log.Close()
	log.Publish(true, endpointsOf(engines)...)
	text, _, err := fetch(context.Background(), "http://"+log.Addr+"/changes?since=0&timeout=0")
	return text, err
}

// eventText returns the JSON of one endpoint in a change-log event.
func eventText(i int, status string) string {
	e := endpointOf(i, status)
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":0,"status":%q,"weight":1,"since_ms":%d}`,
		e.Name, e.Address, e.Zone, e.Type, e.Status, e.SinceMS)
}
