package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// firstEvent is the first event of a change log, with one endpoint.
const firstEvent = `{"seq":1,"fleet":{"index":7,"snapshot":false,"endpoints":[
{"name":"s-00c41f7a","address":"10.1.0.9:7001",
"zone":"east","type":"std","group":2,"status":"ready","weight":4,"since_ms":1500}]}}`

func TestRead(t *testing.T) {
	l := NewChangeLog(platformconfig.Names{Zones: map[string]int{"east": 1}, Kinds: map[string]int{"std": 0}})
	lists, err := l.Read([]byte(`{"seq":1,"results":[` + firstEvent + `]}`))
	require.NoError(t, err)
	want := Endpoint{Engine: admission.Engine{ID: 0xc41f7a, Zone: 1, Cell: 2, Units: 4, Started: 1500 * time.Millisecond},
		Name: "s-00c41f7a", Address: "10.1.0.9:7001"}
	assert.Equal(t, []List{{Complete: true, Endpoints: []Endpoint{want}}}, lists)
	assert.Equal(t, admission.Complete, lists[0].Event().Kind)

	lists, err = l.Read([]byte(`{"seq":4,"results":[` + firstEvent + `,{"seq":2,"object":{}},
		{"seq":3,"fleet":{"endpoints":[
		{"name":"s-1","status":"draining"},{"name":"s-2","status":"gone"},{"name":"s-3","status":"resting"}]}},
		{"seq":4,"fleet":{"snapshot":true,"endpoints":[]}}]}`))
	require.NoError(t, err)
	require.Len(t, lists, 2, "events read before and events of another kind are skipped")
	var states []admission.State
	for _, e := range lists[0].Endpoints {
		states = append(states, e.State)
	}
	assert.Equal(t, []admission.State{admission.Draining, admission.Removed, admission.Draining}, states)
	assert.Equal(t, admission.Partial, lists[0].Event().Kind)
	assert.True(t, lists[1].Complete)
	assert.EqualValues(t, 4, l.Seq())

	lists, err = l.Read([]byte(`{"seq":4,"results":[]}`))
	require.NoError(t, err)
	assert.Empty(t, lists)
	assert.False(t, l.Behind())

	lists, err = l.Read([]byte(`{"seq":9,"results":[
		{"seq":5,"fleet":{"endpoints":[{"name":"s-1","status":"ready"}]}},7]}`))
	require.NoError(t, err)
	assert.Len(t, lists, 1)
	assert.EqualValues(t, 5, l.Seq(), "Seq stays at the last event read, so that the missing events are polled again")
	assert.True(t, l.Behind())
}

func TestReadMalformed(t *testing.T) {
	for _, in := range []string{
		"", "{", "[]", `{"results":[]}`, `{"seq":"1"}`, `{"seq":2,"results":[{"seq":2,"fleet":{"endpoints":[{}]}}]}`,
		`{"seq":1,"results":[{"seq":1,"fleet":{"index":1}}]}`,
		`{"seq":2,"results":[{"seq":2,"fleet":{"snapshot":true,"endpoints":"x"}}]}`,
	} {
		l := NewChangeLog(platformconfig.Names{})
		_, err := l.Read([]byte(in))
		require.Error(t, err, in)
		assert.Zero(t, l.Seq(), "a malformed answer leaves the sequence number unchanged")
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"seq":1,"results":[` + firstEvent + `]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		l := NewChangeLog(platformconfig.Names{})
		if lists, err := l.Read(in); err != nil {
			require.Empty(t, lists)
			require.Zero(t, l.Seq())
		}
	})
}
