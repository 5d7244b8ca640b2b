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

// startCatalogue starts a fake Consul server in which the engines are registered.
func startCatalogue(t *testing.T, conf *tls.Config, engines ...*engine) *consul.Server {
	t.Helper()
	s, err := consul.Start("127.0.0.1:0", conf)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	for _, e := range engines {
		register(s, e)
	}
	return s
}

// register registers an engine whose check passes.
func register(s *consul.Server, e *engine) {
	a := e.Listener.Addr().(*net.TCPAddr)
	s.Register(consul.Node{Node: "n-" + e.name, Address: a.IP.String()},
		consul.Service{ID: e.name, Service: "engine", Port: a.Port, Meta: map[string]string{"zone": "room-a",
			"kind": "std-12"}},
		consul.Check{CheckID: "service:" + e.name, Status: "passing"})
}

// consulSettings writes operators' settings whose source is Consul at the addresses of the catalogues. fields is
// appended to the consul record, or is the whole record if it contains "addresses".
func (r *testGateway) consulSettings(fields string, catalogues ...*consul.Server) {
	var addrs []string
	for _, c := range catalogues {
		addrs = append(addrs, c.Addr)
	}
	list, err := json.Marshal(addrs)
	require.NoError(r.t, err)
	if !strings.Contains(fields, `"addresses"`) {
		fields = `"addresses":` + string(list) + fields
	}
	r.writeSettings(`{"schema":1,"source":"consul","consul":{` + fields + `},
		"last_good":{"path":"` + r.settings + `.list","write_every_ms":1},
		"admin_socket":"` + r.settings + `.sock"}`)
}

func (r *testGateway) writeSettings(text string) {
	require.NoError(r.t, os.WriteFile(r.settings, []byte(text), 0o600))
}

func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1)}
	dir, err := os.MkdirTemp("", "bc") // short: the length of a socket's path is limited
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	r.settings = filepath.Join(dir, "s.json")
	return r
}

// startConsul runs the program with the catalogues as its source. The change log contains no engines.
func startConsul(t *testing.T, fields string, catalogues ...*consul.Server) *testGateway {
	t.Helper()
	r := newTestGateway(t)
	r.consulSettings(fields, catalogues...)
	return r.start(1024)
}

// waitForServedLookup waits until a query of the class lookup is served.
func (r *testGateway) waitForServedLookup() {
	c := r.dial()
	require.Eventually(r.t, func() bool { return c.query("lookup", 2500).code == 0 }, 10*time.Second, 5*time.Millisecond)
}

// waitForEngines waits until the front end has exactly n engines in a state.
func (r *testGateway) waitForEngines(state string, n int) {
	require.Eventually(r.t, func() bool {
		v, err := admin.Call(r.settings+".sock", "list")
		if err != nil {
			return false
		}
		var list []source.EngineStatus
		require.NoError(r.t, json.Unmarshal(v, &list))
		found := 0
		for _, b := range list {
			if b.State == state {
				found++
			}
		}
		return found == n
	}, 10*time.Second, 2*time.Millisecond, "%d %s", n, state)
}

func TestServesFromConsulAndKeepsDrains(t *testing.T) {
	a, b := newEngine(t, nil), newEngine(t, nil)
	s := startCatalogue(t, nil, a, b)
	r := startConsul(t, "", s)
	r.waitForEngines("ready", 2)
	c := r.dial()
	require.Zero(t, c.query("lookup", 2500).code)
	sent := make(chan time.Time, 100)
	s.OnAnswer(func(_ string, list []consul.Instance) {
		for _, in := range list {
			if in.Service.ID == a.name && len(in.Checks) == 2 {
				sent <- time.Now()
			}
		}
	})
	s.SetMaintenance("n-"+a.name, a.name, consul.Maintenance{Enabled: true, Reason: "disks"})
	sentAt := <-sent
	r.waitForEngines("draining", 1)
	assert.Less(t, time.Since(sentAt), 500*time.Millisecond)
	before := a.count("POST")
	for range 50 {
		require.Zero(t, c.query("lookup", 2500).code)
	}
	assert.Equal(t, before, a.count("POST"))
	// Faults of the catalogue end no drain and remove no engine.
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
	r.waitForEngines("ready", 2)
}

// Guards against a front end that, started while its catalogue is down, serves no request until the catalogue is back.
func TestStartsFromCachedEndpointList(t *testing.T) {
	e := newEngine(t, nil)
	s := startCatalogue(t, nil, e)
	r := startConsul(t, "", s)
	r.waitForServedLookup()
	require.Eventually(t, func() bool { _, err := os.Stat(r.settings + ".list"); return err == nil }, 10*time.Second,
		time.Millisecond)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-r.exit)
	s.Close()
	began := time.Now()
	r.log = &lockedBuffer{}
	r.start(1024)
	r.waitForServedLookup()
	assert.Less(t, time.Since(began), 4*time.Second, "the front end must serve from the cached list; "+
		"the bound allows for a race build on a busy machine")
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

// A load that runs while reloads switch the source from the change log to a Consul server, to another Consul server
// and back to the change log is answered once.
func TestReloadSwitchesBetweenSources(t *testing.T) {
	e, release := newBlockedEngine(t)
	spare := newEngine(t, nil)
	one, two := startCatalogue(t, nil, e), startCatalogue(t, nil, e, spare)
	r := newTestGateway(t)
	r.writeSettings(`{"schema":1,"source":"changelog"}`)
	r.start(1024, e)
	done := make(chan answer, 1)
	c := r.dial()
	go func() { done <- c.query("load", 20000) }()
	e.waitFor(t, "POST", 1)
	reload := func(settings func(), want string) {
		settings()
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
		r.waitForLog(want)
	}
	reload(func() { r.consulSettings("", one) }, "reloaded node=n0 source=consul")
	r.waitForLog("not named by the new source")
	reload(func() { r.writeSettings(`{"schema":1,"source":"con`) }, "reload failed")
	reload(func() { r.consulSettings("", two) }, two.Addr+"]")
	r.waitForLog("engine=n-" + spare.name)
	r.waitForServedLookup()
	reload(func() { r.writeSettings(`{"schema":1,"source":"changelog"}`) }, "reloaded node=n0 changelog=")
	require.Eventually(t, func() bool { return strings.Count(r.log.String(), "another source of the list") == 2 },
		10*time.Second, time.Millisecond)
	close(release)
	a := <-done
	assert.Zero(t, a.code, a.text)
	assert.Equal(t, 1, e.count("POST")-countLookups(e))
}

// countLookups returns how many of the queries that an engine received were of the class lookup.
func countLookups(e *engine) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.headers {
		if h.Get("X-Lane") == "lookup" {
			n++
		}
	}
	return n
}

func TestTokenIsRereadAndNeverLogged(t *testing.T) {
	e := newEngine(t, nil)
	s := startCatalogue(t, nil, e)
	s.SetTokens("first-secret")
	r := newTestGateway(t)
	token := r.settings + ".token"
	require.NoError(t, os.WriteFile(token, []byte("first-secret\n"), 0o600))
	r.consulSettings(`,"token_file":"`+token+`"`, s)
	r.start(1024)
	r.waitForServedLookup()
	s.SetTokens("second-secret")
	r.waitForLog("catalogue denies the read")
	reads := s.Reads()
	r.waitForServedLookup()
	assert.LessOrEqual(t, s.Reads(), reads+1, "a denied read is repeated only with backoff")
	require.NoError(t, os.WriteFile(token, []byte("second-secret\n"), 0o600))
	r.waitForLog("catalogue back")
	assert.NotContains(t, r.log.String(), "secret")
	assert.Equal(t, 1, strings.Count(r.log.String(), "catalogue denies"))
}

// newCertificateFiles creates a CA and a key pair for a name, signed by the CA. The results are the pair and the paths
// of the CA's certificate, the pair's certificate and its key.
func newCertificateFiles(t *testing.T, name string) (tls.Certificate, string, string, string) {
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
	pair, ca, cert, key := newCertificateFiles(t, "consul.test")
	pool := x509.NewCertPool()
	text, err := os.ReadFile(ca)
	require.NoError(t, err)
	require.True(t, pool.AppendCertsFromPEM(text))
	e := newEngine(t, nil)
	s := startCatalogue(t, &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert}, e)
	r := startConsul(t, fmt.Sprintf(`"addresses":["https://%s"],"ca_file":%q,"server_name":"consul.test",`+
		`"cert_file":%q,"key_file":%q`, s.Addr, ca, cert, key))
	r.waitForServedLookup()

	r = startConsul(t, fmt.Sprintf(`"addresses":["https://%s"],"ca_file":%q,"server_name":"other.test","cert_file":%q,`+
		`"key_file":%q`, s.Addr, ca, cert, key))
	r.waitForLog("catalogue lost")
	assert.Contains(t, r.log.String(), "other.test")
}

// Five thousand engines with 2 KB of metadata each make a response of 14 MB, which is read in pieces.
func TestReadsALargeList(t *testing.T) {
	e := newEngine(t, nil)
	s := startCatalogue(t, nil, e)
	more := strings.Repeat("x", 2000)
	for i := range 4999 {
		id := "big-" + strconv.Itoa(i)
		s.Register(consul.Node{Node: "big", Address: "127.0.0.1"}, consul.Service{ID: id, Service: "engine", Port: 1 + i,
			Meta: map[string]string{"zone": "room-a", "more": more}}, consul.Check{CheckID: "service:" + id, Status: "passing"})
	}
	r := startConsul(t, "", s)
	r.waitForEngines("ready", 5000)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(t, err)
	peak, err := strconv.Atoi(regexp.MustCompile(`VmHWM:\s+(\d+)`).FindStringSubmatch(string(status))[1])
	require.NoError(t, err)
	t.Logf("peak resident %d KB in a race build", peak)
}

// Guards against a list that is never read because every response takes longer than the timeout, as on a busy machine
// or a slow link. The timeout has to grow after reads that time out.
func TestSlowListIsReadAfterTimeouts(t *testing.T) {
	e := newEngine(t, nil)
	s := startCatalogue(t, nil, e)
	s.SetFaults(consul.Faults{Delay: 700 * time.Millisecond})
	r := startConsul(t, `,"slack_ms":250`, s)
	r.waitForServedLookup()
	assert.Contains(t, r.log.String(), "catalogue lost")
}

// Guards against a front end that takes the failure of one server for the loss of the catalogue, or that reads from a
// failed server only.
func TestFailsOverToOtherAddresses(t *testing.T) {
	e, late := newEngine(t, nil), newEngine(t, nil)
	dead, s := startCatalogue(t, nil), startCatalogue(t, nil, e)
	dead.SetFaults(consul.Faults{Status: 500})
	r := startConsul(t, "", dead, s)
	r.waitForServedLookup()
	register(s, late)
	r.waitForEngines("ready", 2)
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
		want     string
	}{
		"help":             {"", []string{"--help"}, 0, "completion"},
		"version":          {"", []string{"version"}, 0, "gateway"},
		"unknown flag":     {"", []string{"--nope"}, 2, "unknown flag: --nope"},
		"unknown command":  {"", []string{"nope"}, 2, `unknown command "nope"`},
		"surplus argument": {"", []string{"run", "nope"}, 2, "nope"},
		"no configuration": {"", []string{"run"}, 1, "PROXY_CONFIG names no file"},
		"good": {`{"schema":1}`, []string{"check", "--config", config, "--settings", settings}, 0,
			"good: n7"},
		"settings without a schema": {`{}`, []string{"check", "--config", config, "--settings", settings}, 1,
			"schema: missing"},
		"settings of a later schema": {`{"schema":2}`, []string{"check", "--config", config, "--settings", settings}, 1,
			"schema: 2 is later than 1"},
		"settings out of range": {`{"schema":1,"membership":{"max_out":2}}`, []string{"check", "--config", config,
			"--settings", settings}, 1, "membership.max_out: found 2, allowed is a number from 0 to 1"},
		"unknown setting": {`{"schema":1,"consul":{"adresses":[]}}`, []string{"check", "--config", config,
			"--settings", settings}, 1, "consul.adresses: not known; allowed are addresses,"},
		"settings in CUE": {``, []string{"check", "--config", config, "--settings", "x.cue"}, 1, "x.cue"},
		"missing token file": {`{"schema":1,"source":"consul","consul":{"token_file":"/nonexistent"}}`,
			[]string{"check", "--config", config, "--settings", settings}, 1, "consul.token_file: /nonexistent"},
		"address without port": {`{"schema":1,"source":"consul","consul":{"addresses":["consul"]}}`, []string{"check",
			"--config", config, "--settings", settings}, 1, `"consul" is not HOST:PORT`},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(settings, []byte(k.settings), 0o600))
			code, out := runProgram(k.args...)
			assert.Equal(t, k.code, code, out)
			assert.Contains(t, out, k.want)
		})
	}
}
