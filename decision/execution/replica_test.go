package execution

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTestReplica returns a replica with the default settings, modified by change unless it is nil.
func newTestReplica(t *testing.T, change func(*Settings)) *Replica {
	t.Helper()
	settings := Defaults()
	if change != nil {
		change(&settings)
	}
	r, err := NewReplica(settings, 1)
	require.NoError(t, err)
	return r
}

func prepareMessage(id, digest string, round uint64) Prepare {
	return Prepare{ID: id, StatementDigest: digest, Ballot: Ballot{round, "x"}, ConfigNumber: 1}
}

func acceptMessage(id, digest string, round, version uint64, outcome Outcome) Accept {
	return Accept{
		ID:              id,
		StatementDigest: digest,
		Ballot:          Ballot{round, "x"},
		Version:         version,
		Outcome:         outcome,
		ConfigNumber:    1,
	}
}

func TestReplicaIsBounded(t *testing.T) {
	r := newTestReplica(t, func(s *Settings) { s.MaxRecords, s.MaxBytes, s.Retention = 3, 3000, time.Minute })
	for i := range 3 {
		require.True(t, r.Prepare(0, prepareMessage(strconv.Itoa(i), "d", 1)).OK)
	}
	reply := r.Prepare(0, prepareMessage("3", "d", 1))
	assert.Equal(t, NoCapacity, reply.Reason, "rejected at once, and no record is dropped to make room")
	require.True(t, r.Accept(0, acceptMessage("0", "d", 1, 1, Outcome{Phase: Intended})).OK)
	large := Outcome{Phase: Completed, Result: make([]byte, 4000)}
	assert.Equal(t, NoCapacity, r.Accept(0, acceptMessage("0", "d", 1, 2, large)).Reason)
	small := Outcome{Phase: Completed, Result: make([]byte, 1000)}
	require.True(t, r.Accept(0, acceptMessage("0", "d", 1, 2, small)).OK)
	_, bytes := r.Size()
	assert.Less(t, bytes, 3000)

	require.True(t, r.Accept(0, acceptMessage("1", "d", 1, 1, Outcome{Phase: Intended})).OK)
	assert.Equal(t, 0, r.Expire(time.Minute), "the retention is not over yet")
	assert.Equal(t, 2, r.Expire(time.Minute+1), "the record with a final outcome and the one without an accept")
	assert.Equal(t, 0, r.Expire(1000*time.Hour), "an outcome that is not final is kept, however old")
	records, bytes := r.Size()
	assert.Equal(t, 1, records)
	assert.Equal(t, "1", r.Records()[0].ID)
	assert.Positive(t, bytes)
}

func TestIDBelongsToOneStatement(t *testing.T) {
	r := newTestReplica(t, nil)
	require.True(t, r.Prepare(0, prepareMessage("id", "load a", 1)).OK)
	assert.Equal(t, OtherStatement, r.Prepare(0, prepareMessage("id", "load b", 2)).Reason)
	assert.Equal(t, OtherStatement, r.Accept(0, acceptMessage("id", "load b", 2, 1, Outcome{})).Reason)
	assert.Equal(t, NotPrepared, r.Accept(0, acceptMessage("other", "load a", 2, 1, Outcome{})).Reason)
}

func TestSettingsAreChecked(t *testing.T) {
	for message, invalidate := range map[string]func(*Settings){
		"replicas: found 2": func(s *Settings) { s.Replicas = 2 },
		"max_records":       func(s *Settings) { s.MaxRecords = 0 },
		"retention":         func(s *Settings) { s.Retention = 0 },
	} {
		settings := Defaults()
		require.NoError(t, settings.Check())
		invalidate(&settings)
		_, err := NewReplica(settings, 1)
		assert.ErrorContains(t, err, message)
	}
}
