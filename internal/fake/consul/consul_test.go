package consul

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// client returns the official Consul client for a fake server. Driving the fake with this client checks that the front
// end sees the same protocol from the fake as from a real Consul.
func client(t *testing.T, s *Server, token string) *api.Client {
	t.Helper()
	c, err := api.NewClient(&api.Config{Address: s.Addr, Token: token})
	require.NoError(t, err)
	return c
}

func startServer(t *testing.T) *Server {
	t.Helper()
	s, err := Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func TestServesOfficialClient(t *testing.T) {
	s := startServer(t)
	c := client(t, s, "")
	require.NoError(t, c.Agent().ServiceRegister(&api.AgentServiceRegistration{
		ID: "e1", Name: "engine", Tags: []string{"blue"}, Port: 7001, Address: "127.0.0.9",
		Meta:    map[string]string{"zone": "a"},
		Weights: &api.AgentWeights{Passing: 10, Warning: 2}, Check: &api.AgentServiceCheck{TTL: "50ms"},
	}))
	list, meta, err := c.Health().Service("engine", "", false, nil)
	require.NoError(t, err)
	require.Len(t, list, 1)
	assert.True(t, meta.KnownLeader)
	assert.Equal(t, "127.0.0.9", list[0].Service.Address)
	assert.Equal(t, 10, list[0].Service.Weights.Passing)
	assert.Equal(t, "a", list[0].Service.Meta["zone"])
	assert.Equal(t, api.HealthCritical, list[0].Checks.AggregatedStatus())
	require.NoError(t, c.Agent().UpdateTTL("service:e1", "well", api.HealthPassing))

	// A blocking query returns when the check expires, and not before.
	list, meta, err = c.Health().Service("engine", "blue", true, nil)
	require.NoError(t, err)
	require.Len(t, list, 1)
	list, metaAfter, err := c.Health().Service("engine", "", false, &api.QueryOptions{WaitIndex: meta.LastIndex,
		WaitTime: 10 * time.Second})
	require.NoError(t, err)
	assert.Greater(t, metaAfter.LastIndex, meta.LastIndex)
	assert.Equal(t, api.HealthCritical, list[0].Checks.AggregatedStatus())

	require.NoError(t, c.Agent().EnableServiceMaintenance("e1", "new disks"))
	list, _, err = c.Health().Service("engine", "", false, nil)
	require.NoError(t, err)
	assert.Equal(t, api.HealthMaint, list[0].Checks.AggregatedStatus())
	require.NoError(t, c.Agent().DisableServiceMaintenance("e1"))
	require.NoError(t, c.Agent().EnableNodeMaintenance("new cables"))
	list, _, err = c.Health().Service("engine", "", false, nil)
	require.NoError(t, err)
	assert.Equal(t, api.HealthMaint, list[0].Checks.AggregatedStatus())
	require.NoError(t, c.Agent().DisableNodeMaintenance())
	checks, _, err := c.Health().State(api.HealthCritical, nil)
	require.NoError(t, err)
	assert.Len(t, checks, 1)

	assertCatalogWorks(t, c)
	leader, err := c.Status().Leader()
	require.NoError(t, err)
	assert.Equal(t, s.Addr, leader)
}

// assertCatalogWorks registers an instance in the catalogue and deregisters the agent's e1.
func assertCatalogWorks(t *testing.T, c *api.Client) {
	t.Helper()
	rows, _, err := c.Catalog().Service("engine", "", nil)
	require.NoError(t, err)
	assert.Equal(t, 7001, rows[0].ServicePort)
	_, err = c.Catalog().Register(&api.CatalogRegistration{Node: "n2", Address: "127.0.0.2",
		Service: &api.AgentService{ID: "e2", Service: "engine", Port: 1}}, nil)
	require.NoError(t, err)
	require.NoError(t, c.Agent().ServiceDeregister("e1"))
	list, _, err := c.Health().Service("engine", "", false, nil)
	require.NoError(t, err)
	require.Len(t, list, 1)
	assert.Equal(t, "n2", list[0].Node.Node)
	assert.Equal(t, api.HealthPassing, list[0].Checks.AggregatedStatus(), "an instance without checks is passing")
}

func TestTokens(t *testing.T) {
	s := startServer(t)
	s.SetTokens("good")
	_, _, err := client(t, s, "bad").Health().Service("engine", "", false, nil)
	var status api.StatusError
	require.ErrorAs(t, err, &status)
	assert.Equal(t, http.StatusForbidden, status.Code)
	_, _, err = client(t, s, "good").Health().Service("engine", "", false, nil)
	assert.NoError(t, err)
}

func TestFaultsAppearInReads(t *testing.T) {
	s := startServer(t)
	c := client(t, s, "")
	for i := range 3 {
		s.Register(Node{Node: "n", Address: "127.0.0.1"}, Service{ID: string(rune('a' + i)), Service: "engine", Port: 1})
	}
	read := func(f Faults) (int, *api.QueryMeta, error) {
		s.SetFaults(f)
		list, meta, err := c.Health().Service("engine", "", false, nil)
		return len(list), meta, err
	}
	n, initial, err := read(Faults{})
	require.NoError(t, err)
	require.Equal(t, 3, n)
	n, _, err = read(Faults{Empty: true})
	require.NoError(t, err)
	assert.Zero(t, n)
	n, _, err = read(Faults{MaxInstances: 2})
	require.NoError(t, err)
	assert.Equal(t, 2, n)
	_, meta, err := read(Faults{IndexRollback: 5})
	require.NoError(t, err)
	assert.Less(t, meta.LastIndex, initial.LastIndex)
	_, meta, err = read(Faults{NoLeader: true, LastContact: 3 * time.Second})
	require.NoError(t, err)
	assert.False(t, meta.KnownLeader)
	assert.Equal(t, 3*time.Second, meta.LastContact)
	for _, f := range []Faults{{Status: 500}, {Status: 429}, {Truncated: true}, {Malformed: true}} {
		_, _, err := read(f)
		require.Error(t, err, f)
	}
	s.SetFaults(Faults{Stale: true})
	s.Deregister("n", "a")
	n, _, err = read(Faults{Stale: true})
	require.NoError(t, err)
	assert.Equal(t, 3, n)
	n, _, err = read(Faults{})
	require.NoError(t, err)
	assert.Equal(t, 2, n)
}
