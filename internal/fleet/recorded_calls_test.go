package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/recorded"
)

// exchange is one call of the replicas' HTTP interface and its answer.
type exchange struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	Status int    `json:"status"`
	Answer string `json:"answer"`
}

// recordCalls calls a replica, and returns the calls with their answers. The replica's addresses and its log index,
// which differ from run to run, are replaced by fixed texts in the answers.
func recordCalls(t *testing.T, o *Options, calls []exchange) []exchange {
	t.Helper()
	replica := o.ControlReplicas[0]
	mask := strings.NewReplacer(replica.APIAddress, "ASK", replica.LogAddress, "LOG", replica.GossipAddress, "GOSSIP")
	logIndexPattern := regexp.MustCompile(`"index":\d+`)
	answered := []exchange{}
	for _, e := range calls {
		body := strings.NewReplacer("LOG", replica.LogAddress).Replace(e.Body)
		request, err := http.NewRequest(e.Method, "http://"+replica.APIAddress+e.Path, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("X-Key", o.Key)
		if e.Path == "/status?wrong-key" {
			request.Header.Set("X-Key", "another")
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		e.Status, e.Answer = response.StatusCode, logIndexPattern.ReplaceAllString(mask.Replace(string(answer)), `"index":0`)
		answered = append(answered, e)
	}
	return answered
}

func jsonLines[T any](t *testing.T, values []T) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	for _, value := range values {
		require.NoError(t, encoder.Encode(value))
	}
	return out.Bytes()
}

// filledCounts returns the JSON of WindowCounts with every field set.
func filledCounts(t *testing.T) string {
	t.Helper()
	var report WindowCounts
	n := 0
	var fill func(reflect.Value)
	fill = func(v reflect.Value) {
		n++
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				fill(v.Field(i))
			}
		case reflect.String:
			v.SetString(fmt.Sprint("text-", n))
		case reflect.Int64:
			v.SetInt(int64(n))
		case reflect.Float64:
			v.SetFloat(float64(n) + 0.25)
		default:
			require.Fail(t, "filledCounts: found a field of unsupported kind "+v.Kind().String())
		}
	}
	fill(reflect.ValueOf(&report).Elem())
	text, err := json.Marshal(report)
	require.NoError(t, err)
	return string(text)
}

// checkAnswers compares the answers to calls of the HTTP interface with the recording, at a replica that leads and at
// one that belongs to no fleet.
func checkAnswers(t *testing.T, o *Options) {
	t.Helper()
	post := func(path, body string) exchange { return exchange{Method: http.MethodPost, Path: path, Body: body} }
	get := func(path string) exchange { return exchange{Method: http.MethodGet, Path: path} }
	calls := []exchange{
		get("/status"), get("/status?wrong-key"),
		get("/watch?name=n0&have="), get("/watch?name=n3&have=x"), get("/watch?name=n9&have="),
		post("/plan", `{"revision":"r4","waves":[0.2,1],"soak":1000000000}`),
		post("/plan", `{"revision":"r4","waves":[0.2]}`),
		post("/counts", filledCounts(t)), post("/counts", `{"odd":1}`), post("/init", `{}`),
		post("/join", `{"Name":"n0","ID":"`+recordedIdentity+`","Log":"LOG"}`),
		post("/join", `{"Name":"n9","ID":"n9.00","Log":"127.0.0.1:1"}`),
		post("/apply", `{"odd":1}`), post("/apply", `{"id":"c2","by":"ann","at":0,"drain":{"name":"e1","engine":true}}`),
		post("/apply", `{"at":0,"say":{"name":"n0","room":"room-a","kind":"std-12","weight":100,"incarnation":10,"seq":2,`+
			`"revision":"r1","phase":"serving"}}`),
		post("/apply", `{"at":0,"say":{"name":"n0","room":"room-a","weight":100,"incarnation":9,"seq":1,`+
			`"revision":"r1","phase":"gone"}}`),
		post("/apply", `{"id":"d1","by":"ann","at":0,"drain":{"name":"n9"}}`),
		post("/apply", `{"id":"d2","by":"ann","at":0,"drain":{"name":"e0","engine":true}}`),
		post("/apply", `{"at":0,"begin":{"name":"n0","incarnation":10,"permit":99}}`),
		post("/apply", `{"id":"d3","by":"ann","at":0,"start":{"revision":"r5","waves":[1],"soak":0}}`),
		post("/apply", `{"id":"d4","by":"ann","at":0,"resume":{}}`),
		post("/apply", `{"id":"d5","by":"ann","at":0,"halt":{"cause":"x"}}`),
	}
	exchanges := recordCalls(t, o, calls)

	unjoined := options(t)
	replica, err := OpenReplica(unjoined)
	require.NoError(t, err)
	t.Cleanup(replica.Close)
	exchanges = append(exchanges, recordCalls(t, unjoined, []exchange{
		get("/status"), get("/watch?name=n0&have="), post("/apply", `{"at":0,"tick":{}}`),
		post("/join", `{"Name":"n0","ID":"n0.00","Log":"LOG"}`), post("/counts", filledCounts(t)),
	})...)
	recorded.Compare(t, "answers.jsonl", jsonLines(t, exchanges))
}

// fakeReplica is a replica's HTTP interface that records each distinct call and answers with reply.
type fakeReplica struct {
	mu        sync.Mutex
	calls     map[string]bool
	normalize func(string) string // replaces the parts of a call that differ from run to run
	reply     func(path, body string) string
}

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.calls[f.normalize(strings.Join([]string{r.Method, r.URL.String(), r.Header.Get("X-Key"), string(body)}, " "))] = true
	answer := f.reply(r.URL.Path, string(body))
	f.mu.Unlock()
	_, _ = io.WriteString(w, answer)
}

func (f *fakeReplica) sorted() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []string{}
	for call := range f.calls {
		all = append(all, call)
	}
	slices.Sort(all)
	return all
}

// serveFake starts a fake replica, and sets its address as the API address of the options' first control replica.
func serveFake(t *testing.T, o *Options, reply func(path, body string) string) *fakeReplica {
	t.Helper()
	f := &fakeReplica{calls: map[string]bool{}, reply: reply, normalize: func(call string) string { return call }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(f)
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
	o.ControlReplicas[0].APIAddress = l.Addr().String()
	return f
}

// The calls of a Client, as operators' tools make them, are as recorded.
func TestRecordedClientCalls(t *testing.T) {
	o := options(t)
	fake := serveFake(t, o, func(string, string) string { return `{"value":{}}` })
	client := NewClient(o)
	for _, text := range commandTexts() {
		_, err := client.Apply(parseCommand(t, text))
		require.NoError(t, err)
	}
	var start rollout.StartRelease
	require.NoError(t, json.Unmarshal([]byte(`{"revision":"r4","from":"r1","waves":[0.2,1],"soak":1000000000}`), &start))
	_, err := client.Plan(start)
	require.Error(t, err, "the fake replica answers with an object, a plan is a list")
	_, err = client.Status()
	require.NoError(t, err)
	require.NoError(t, client.Init())
	recorded.Compare(t, "client.txt", []byte(strings.Join(fake.sorted(), "\n")+"\n"))
}

// A replica that does not lead names the leader in its answer, and the client calls the leader next.
func TestRecordedRedirect(t *testing.T) {
	leader := options(t)
	fake := serveFake(t, leader, func(string, string) string { return `{"value":{"permit":5}}` })
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"error":"fleet: no keeper leads","leader":%q}`, leader.ControlReplicas[0].APIAddress)
	}))
	defer follower.Close()
	o := options(t)
	o.ControlReplicas[0].APIAddress = strings.TrimPrefix(follower.URL, "http://")
	result, err := NewClient(o).Apply(parseCommand(t, `{"at":0,"tick":{}}`))
	require.NoError(t, err)
	assert.Equal(t, uint64(5), result.Permit)
	assert.Len(t, fake.sorted(), 1)
}

// The calls of a member from its start to its end, with an engine's drain and a permit to restart, are as recorded.
// The incarnation of the process is one more than the incarnation in the member's file.
func TestRecordedMemberCalls(t *testing.T) {
	o := options(t)
	o.Kind, o.CapacityPerSecond = "std-12", 100
	const process = "4000000000000000001"
	require.NoError(t, os.WriteFile(o.LogDirectory+".process", []byte("4000000000000000000\n"), 0o600))
	o.Name = "n1" // not a control replica
	view := `{"view":{"known":true,"incarnation":` + process + `,"seq":2,"phase":"serving","doubted":false,` +
		`"wanted":"r1","permit":{"number":7,"holder":"n1","for":"restart","revision":"r2","release":1,"granted":5,` +
		`"incarnation":` + process + `},` +
		`"drains":[{"engine":"e0","permit":3,"said":false}],"release":1,"target":"r2"},"have":"abc","applied":9}`
	fake := serveFake(t, o, func(path, body string) string {
		switch {
		case path == "/watch":
			time.Sleep(5 * time.Millisecond)
			return `{"value":` + view + `}`
		case strings.Contains(body, `"begin"`):
			return `{"value":{"permit":7,"go":true}}`
		case strings.Contains(body, `"say"`):
			return `{"value":{"applied":9,"drained":["e0"]}}`
		}
		return `{"value":{}}`
	})
	member, err := Join(*o, idleFrontEnd{})
	require.NoError(t, err)
	<-member.Registered()
	member.SetPhase(rollout.Serving)
	select {
	case grant := <-member.Shutdowns():
		assert.Equal(t, "{7 restart r2}", fmt.Sprint(grant))
	case <-time.After(20 * time.Second):
		require.Fail(t, "the member got no shutdown grant within 20 s")
	}
	member.Close(20 * time.Second)
	calls := slices.DeleteFunc(fake.sorted(), func(call string) bool { return strings.Contains(call, "/counts") })
	recorded.Compare(t, "member.txt", []byte(strings.Join(calls, "\n")+"\n"))
	written, err := os.ReadFile(o.LogDirectory + ".process")
	require.NoError(t, err)
	assert.Equal(t, process+"\n", string(written))
}

// The call by which a replica asks to be added to the log is as recorded.
func TestRecordedJoinCall(t *testing.T) {
	o := options(t)
	require.NoError(t, os.MkdirAll(o.LogDirectory, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(o.LogDirectory, "identity"), []byte(recordedIdentity+"\n"), 0o600))
	called := options(t)
	fake := serveFake(t, called, func(string, string) string { return `{}` })
	fake.normalize = func(call string) string { return strings.ReplaceAll(call, o.ControlReplicas[0].LogAddress, "LOG") }
	for _, name := range []string{"n1", "n2"} {
		other := called.ControlReplicas[0]
		other.Name = name
		o.ControlReplicas = append(o.ControlReplicas, other)
	}
	replica, err := OpenReplica(o)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(fake.sorted()) > 0 }, 20*time.Second, time.Millisecond)
	replica.Close()
	recorded.Compare(t, "join.txt", []byte(strings.Join(fake.sorted(), "\n")+"\n"))
}

// The identity file, the handshake of a log connection, and the durability mark after a failed sync have the formats
// that other builds read.
func TestRecordedFiles(t *testing.T) {
	o := options(t)
	o.DiskFaultFile = filepath.Join(t.TempDir(), "fault")
	member, err := Join(*o, idleFrontEnd{})
	require.NoError(t, err)
	defer member.Close(0)
	identity, err := os.ReadFile(filepath.Join(o.LogDirectory, "identity"))
	require.NoError(t, err)
	assert.Regexp(t, `^n0\.[0-9a-f]{12}\n$`, string(identity))

	c, err := net.Dial("tcp", o.ControlReplicas[0].LogAddress)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "%s %s\n", strings.TrimSpace(string(identity)), o.Key)
	require.NoError(t, err)
	answer := make([]byte, 1)
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	assert.Equal(t, "+", string(answer))

	require.NoError(t, os.WriteFile(o.DiskFaultFile, []byte("sync"), 0o600))
	require.Error(t, NewClient(o).Init())
	var mark []byte
	require.Eventually(t, func() bool {
		mark, err = os.ReadFile(filepath.Join(o.LogDirectory, "doubtful"))
		return err == nil && len(mark) > 0
	}, 20*time.Second, time.Millisecond)
	assert.Equal(t, "sync "+o.DiskFaultFile+": input/output error\n", string(mark))
}
