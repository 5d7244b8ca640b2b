package main_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/admin"
	"beechcart/internal/fake/consul"
	"beechcart/internal/source"
)

// catalogue starts a fake Consul that lists those engines.
func catalogue(t *testing.T, conf *tls.Config, engines ...*engine) *consul.Server {
	t.Helper()
	s, err := consul.Start("127.0.0.1:0", conf)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	for _, e := range engines {
		list(s, e)
	}
	return s
}

// list registers an engine that passes its check.
func list(s *consul.Server, e *engine) {
	a := e.Listener.Addr().(*net.TCPAddr)
	s.Register(consul.Node{Node: "n-" + e.name, Address: a.IP.String()},
		consul.Service{ID: e.name, Service: "engine", Port: a.Port, Meta: map[string]string{"zone": "room-a",
			"kind": "std-12"}},
		consul.Check{CheckID: "service:" + e.name, Status: "passing"})
}

// consulSettings writes operators' settings that read those catalogues, with further fields of the consul record.
func (r *testGateway) consulSettings(more string, catalogues ...*consul.Server) {
	var addrs []string
	for _, c := range catalogues {
		addrs = append(addrs, c.Addr)
	}
	list, err := json.Marshal(addrs)
	require.NoError(r.t, err)
	if !strings.Contains(more, `"addresses"`) {
		more = `"addresses":` + string(list) + more
	}
	r.writeSettings(`{"schema":1,"source":"consul","consul":{` + more + `},
		"last_good":{"path":"` + r.settings + `.list","write_every_ms":1},
		"admin_socket":"` + r.settings + `.sock"}`)
}

func (r *testGateway) writeSettings(text string) {
	require.NoError(r.t, os.WriteFile(r.settings, []byte(text), 0o600))
}

func newRig(t *testing.T) *testGateway {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1)}
	dir, err := os.MkdirTemp("", "bc") // short: the path of a socket has a bound
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	r.settings = filepath.Join(dir, "s.json")
	return r
}

// startConsul runs the program on the list of a catalogue; its change log names nobody.
func startConsul(t *testing.T, more string, catalogues ...*consul.Server) *testGateway {
	t.Helper()
	r := newRig(t)
	r.consulSettings(more, catalogues...)
	return r.start(1024)
}

// served waits until a lookup is served.
func (r *testGateway) served() {
	c := r.dial()
	require.Eventually(r.t, func() bool { return c.query("lookup", 2500).code == 0 }, 10*time.Second, 5*time.Millisecond)
}

// believes waits until the front end has that many engines in a state.
func (r *testGateway) believes(state string, n int) {
	require.Eventually(r.t, func() bool {
		v, err := admin.Call(r.settings+".sock", "list")
		if err != nil {
			return false
		}
		var list []source.EngineStatus
		require.NoError(r.t, json.Unmarshal(v, &list))
		have := 0
		for _, b := range list {
			if b.State == state {
				have++
			}
		}
		return have == n
	}, 10*time.Second, 2*time.Millisecond, "%d %s", n, state)
}

func TestServesFromConsulAndKeepsDrains(t *testing.T) {
	a, b := newEngine(t, nil), newEngine(t, nil)
	s := catalogue(t, nil, a, b)
	r := startConsul(t, "", s)
	r.believes("ready", 2)
	c := r.dial()
	require.Zero(t, c.query("lookup", 2500).code)
	told := make(chan time.Time, 100)
	s.OnAnswer(func(_ string, list []consul.Instance) {
		for _, in := range list {
			if in.Service.ID == a.name && len(in.Checks) == 2 {
				told <- time.Now()
			}
		}
	})
	s.SetMaintenance("n-"+a.name, a.name, consul.Maintenance{Enabled: true, Reason: "disks"})
	at := <-told
	r.believes("draining", 1)
	assert.Less(t, time.Since(at), 500*time.Millisecond)
	before := a.count("POST")
	for range 50 {
		require.Zero(t, c.query("lookup", 2500).code)
	}
	assert.Equal(t, before, a.count("POST"))
	// What is wrong with the catalogue now lifts no drain, and drops nobody.
	s.SetFaults(consul.Faults{Stale: true, NoLeader: true})
	s.SetFaults(consul.Faults{Empty: true})
	r.waitForLog("empty list not obeyed")
	s.SetFaults(consul.Faults{Truncated: true})
	r.waitForLog("catalogue lost")
	s.SetFaults(consul.Faults{Status: 500})
	for range 50 {
		require.Zero(t, c.query("lookup", 2500).code)
	}
	assert.Equal(t, before, a.count("POST"))
	s.SetFaults(consul.Faults{})
	r.waitForLog("catalogue back")
	s.SetMaintenance("n-"+a.name, a.name, consul.Maintenance{})
	r.believes("ready", 2)
}

// Guards against a front end that serves nobody as long as its catalogue is down.
func TestStartsFromTheLastGoodList(t *testing.T) {
	e := newEngine(t, nil)
	s := catalogue(t, nil, e)
	r := startConsul(t, "", s)
	r.served()
	require.Eventually(t, func() bool { _, err := os.Stat(r.settings + ".list"); return err == nil }, 10*time.Second,
		time.Millisecond)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-r.exit)
	s.Close()
	began := time.Now()
	r.log = &lockedBuffer{}
	r.start(1024)
	r.served()
	assert.Less(t, time.Since(began), 4*time.Second, "the catalogue is down for good; a race build on a busy machine "+
		"takes its time")
	assert.Contains(t, r.log.String(), "last good list used")
	assert.Regexp(t, `age=[0-9.]+m?s`, r.log.String())

	require.NoError(t, r.cmd.Process.Kill())
	r.t.Log("ended:", <-r.exit)
	require.NoError(t, os.WriteFile(r.settings+".list", []byte("beechcart-list 9 1 1\n"), 0o600))
	r.log = &lockedBuffer{}
	r.start(1024)
	r.waitForLog("future")
	_, err := os.Stat(r.settings + ".list.future")
	assert.NoError(t, err)
}

// A load that runs while the list moves from the change log to a Consul, to another one, and back, is answered once.
func TestReloadMovesBetweenSources(t *testing.T) {
	e, release := heldEngine(t)
	spare := newEngine(t, nil)
	one, two := catalogue(t, nil, e), catalogue(t, nil, e, spare)
	r := newRig(t)
	r.writeSettings(`{"schema":1,"source":"changelog"}`)
	r.start(1024, e)
	done := make(chan answer, 1)
	c := r.dial()
	go func() { done <- c.query("load", 20000) }()
	e.waitFor(t, "POST", 1)
	hup := func(settings func(), says string) {
		settings()
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
		r.waitForLog(says)
	}
	hup(func() { r.consulSettings("", one) }, "reloaded node=n0 source=consul")
	r.waitForLog("not named by the new source")
	hup(func() { r.writeSettings(`{"schema":1,"source":"con`) }, "reload failed")
	hup(func() { r.consulSettings("", two) }, two.Addr+"]")
	r.waitForLog("engine=n-" + spare.name)
	r.served()
	hup(func() { r.writeSettings(`{"schema":1,"source":"changelog"}`) }, "reloaded node=n0 changelog=")
	require.Eventually(t, func() bool { return strings.Count(r.log.String(), "another source of the list") == 2 },
		10*time.Second, time.Millisecond)
	close(release)
	a := <-done
	assert.Zero(t, a.code, a.text)
	assert.Equal(t, 1, e.count("POST")-countLookups(e))
}

// countLookups tells how many of an engine's queries were lookups.
func countLookups(e *engine) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.heads {
		if h.Get("X-Lane") == "lookup" {
			n++
		}
	}
	return n
}

func TestTokenIsRereadAndNeverLogged(t *testing.T) {
	e := newEngine(t, nil)
	s := catalogue(t, nil, e)
	s.SetTokens("first-secret")
	r := newRig(t)
	token := r.settings + ".token"
	require.NoError(t, os.WriteFile(token, []byte("first-secret\n"), 0o600))
	r.consulSettings(`,"token_file":"`+token+`"`, s)
	r.start(1024)
	r.served()
	s.SetTokens("second-secret")
	r.waitForLog("catalogue denies the read")
	reads := s.Reads()
	r.served()
	assert.LessOrEqual(t, s.Reads(), reads+1, "a denied read is held, not hammered")
	require.NoError(t, os.WriteFile(token, []byte("second-secret\n"), 0o600))
	r.waitForLog("catalogue back")
	assert.NotContains(t, r.log.String(), "secret")
	assert.Equal(t, 1, strings.Count(r.log.String(), "catalogue denies"))
}

// keys makes a CA and a pair that it has signed for a name; it returns the pair and the file of the CA.
func keys(t *testing.T, name string) (tls.Certificate, string, string, string) {
	t.Helper()
	ca, caKey := newCert(t, "ca", nil, nil)
	leaf, key := newCert(t, name, ca, caKey)
	dir := t.TempDir()
	write := func(file, kind string, der []byte) string {
		path := filepath.Join(dir, file)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	caFile, certFile, keyFile := write("ca", "CERTIFICATE", ca.Raw), write("cert", "CERTIFICATE", leaf.Raw),
		write("key", "EC PRIVATE KEY", der)
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	require.NoError(t, err)
	return pair, caFile, certFile, keyFile
}

func newCert(t *testing.T, name string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) (*x509.Certificate,
	*ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		DNSNames:  []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: ca == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
	if ca == nil {
		ca, caKey = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, ca, &key.PublicKey, caKey)
	require.NoError(t, err)
	c, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return c, key
}

func TestReadsOverTLS(t *testing.T) {
	pair, ca, cert, key := keys(t, "consul.test")
	pool := x509.NewCertPool()
	text, err := os.ReadFile(ca)
	require.NoError(t, err)
	require.True(t, pool.AppendCertsFromPEM(text))
	e := newEngine(t, nil)
	s := catalogue(t, &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert}, e)
	r := startConsul(t, fmt.Sprintf(`"addresses":["https://%s"],"ca_file":%q,"server_name":"consul.test",`+
		`"cert_file":%q,"key_file":%q`, s.Addr, ca, cert, key))
	r.served()

	r = startConsul(t, fmt.Sprintf(`"addresses":["https://%s"],"ca_file":%q,"server_name":"other.test","cert_file":%q,`+
		`"key_file":%q`, s.Addr, ca, cert, key))
	r.waitForLog("catalogue lost")
	assert.Contains(t, r.log.String(), "other.test")
}

// Five thousand engines with 2 KB of metadata each are 14 MB of answer, read in pieces.
func TestReadsALargeList(t *testing.T) {
	e := newEngine(t, nil)
	s := catalogue(t, nil, e)
	more := strings.Repeat("x", 2000)
	for i := range 4999 {
		id := "big-" + strconv.Itoa(i)
		s.Register(consul.Node{Node: "big", Address: "127.0.0.1"}, consul.Service{ID: id, Service: "engine", Port: 1 + i,
			Meta: map[string]string{"zone": "room-a", "more": more}}, consul.Check{CheckID: "service:" + id, Status: "passing"})
	}
	r := startConsul(t, "", s)
	r.believes("ready", 5000)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(t, err)
	peak, err := strconv.Atoi(regexp.MustCompile(`VmHWM:\s+(\d+)`).FindStringSubmatch(string(status))[1])
	require.NoError(t, err)
	t.Logf("peak resident %d KB in a race build", peak)
}

// A busy machine, or a slow link, took longer for a list than its time, again and again, and it was never read.
func TestReadsAListThatTakesLong(t *testing.T) {
	e := newEngine(t, nil)
	s := catalogue(t, nil, e)
	s.SetFaults(consul.Faults{Delay: 700 * time.Millisecond})
	r := startConsul(t, `,"slack_ms":250`, s)
	r.served()
	assert.Contains(t, r.log.String(), "catalogue lost")
}

// Guards against a lost connection that is taken for a lost catalogue, and against asking a dead server only.
func TestAsksFurtherAddresses(t *testing.T) {
	e, late := newEngine(t, nil), newEngine(t, nil)
	dead, s := catalogue(t, nil), catalogue(t, nil, e)
	dead.SetFaults(consul.Faults{Status: 500})
	r := startConsul(t, "", dead, s)
	r.served()
	list(s, late)
	r.believes("ready", 2)
}

func TestCommandLine(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(config, []byte(`{"name":"n7","listen":"127.0.0.1:1","changelog":"127.0.0.1:1",`+
		`"settings":`+defaultPlatformSettings+`}`), 0o600))
	settings := filepath.Join(t.TempDir(), "settings.json")
	for name, k := range map[string]struct {
		settings string
		args     []string
		code     int
		says     string
	}{
		"help":             {"", []string{"--help"}, 0, "completion"},
		"version":          {"", []string{"version"}, 0, "gateway"},
		"unknown flag":     {"", []string{"--nope"}, 2, "unknown flag: --nope"},
		"unknown command":  {"", []string{"nope"}, 2, `unknown command "nope"`},
		"surplus word":     {"", []string{"run", "nope"}, 2, "nope"},
		"no configuration": {"", []string{"run"}, 1, "PROXY_CONFIG names no file"},
		"good": {`{"schema":1}`, []string{"check", "--config", config, "--settings", settings}, 0,
			"good: n7"},
		"settings of no build": {`{}`, []string{"check", "--config", config, "--settings", settings}, 1, "schema: missing"},
		"settings from later": {`{"schema":2}`, []string{"check", "--config", config, "--settings", settings}, 1,
			"schema: 2 is later than 1"},
		"settings out of range": {`{"schema":1,"membership":{"max_out":2}}`, []string{"check", "--config", config,
			"--settings", settings}, 1, "membership.max_out: found 2, allowed is a number from 0 to 1"},
		"settings unknown": {`{"schema":1,"consul":{"adresses":[]}}`, []string{"check", "--config", config,
			"--settings", settings}, 1, "consul.adresses: not known; allowed are addresses,"},
		"settings in CUE": {``, []string{"check", "--config", config, "--settings", "x.cue"}, 1, "x.cue"},
		"no such token": {`{"schema":1,"source":"consul","consul":{"token_file":"/nonexistent"}}`,
			[]string{"check", "--config", config, "--settings", settings}, 1, "consul.token_file: /nonexistent"},
		"address without port": {`{"schema":1,"source":"consul","consul":{"addresses":["consul"]}}`, []string{"check",
			"--config", config, "--settings", settings}, 1, `"consul" is not HOST:PORT`},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(settings, []byte(k.settings), 0o600))
			code, out := call(k.args...)
			assert.Equal(t, k.code, code, out)
			assert.Contains(t, out, k.says)
		})
	}
}
