package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/recorded"
)

const (
	recordedDir      = "testdata/recorded"
	recordedIdentity = "n0.0123456789ab"
)

// mustRecord reports whether a recording is to be made: it is missing and RECORD is 1. An existing recording is never
// overwritten.
func mustRecord(t *testing.T, name string) bool {
	t.Helper()
	_, err := os.Stat(filepath.Join(recordedDir, name))
	if errors.Is(err, fs.ErrNotExist) && os.Getenv("RECORD") == "1" {
		return true
	}
	require.NoError(t, err)
	return false
}

func writeRecorded(t *testing.T, name string, content []byte) {
	t.Helper()
	path := filepath.Join(recordedDir, name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, content, 0o644))
}

// commandTexts returns the JSON of commands as members and operators send them, at least one of each type.
func commandTexts() []string {
	texts := []string{}
	add := func(format string, args ...any) { texts = append(texts, fmt.Sprintf(format, args...)) }
	for i := range 6 {
		add(`{"at":0,"say":{"name":"n%d","room":"room-%c","kind":"std-12","weight":100,"incarnation":%d,"seq":1,`+
			`"revision":"r1","phase":"serving"}}`, i, 'a'+i%3, 10+i)
	}
	for i := range 3 {
		add(`{"at":0,"engine":{"name":"e%d","room":"room-%c","kind":"std-12","cores":12,"process":5,`+
			`"listed":true,"ready":true}}`, i, 'a'+i)
	}
	return append(texts,
		`{"id":"c1","by":"ann","at":0,"configure":{"front_ends":{"most":2,"share":0.5,"room_most":1,"room_share":0.5,`+
			`"kind_most":4,"kind_share":0.9,"headroom":0.1},`+
			`"engines":{"most":1,"share":0,"room_most":1,"room_share":0,"kind_most":0,`+
			`"kind_share":0,"headroom":0.1},"way_back":{"most":3,"share":0.5,"room_most":0,"room_share":0.5,"kind_most":0,`+
			`"kind_share":0,"headroom":0},"judge":{"alpha":0.02,"tolerance":1.5,"least":100,"dispersion":3},`+
			`"not_back":3600000000000,"crash_loop":4,"crash_window":60000000000,"protocol":1000000,"keep_ids":20,`+
			`"keep_audit":10,"keep_gone":5}}`,
		`{"at":0,"load":{"front_ends":120,"engines":8}}`,
		`{"id":"c2","by":"ann","at":0,"drain":{"name":"e1","engine":true}}`,
		`{"id":"c3","by":"bob","at":0,"drain":{"name":"e2","engine":true}}`, // rejected
		`{"at":0,"empty":{"name":"n0","incarnation":10,"permit":1}}`,
		`{"id":"c4","by":"ann","at":0,"drain":{"name":"n3"}}`,
		`{"at":0,"begin":{"name":"n3","incarnation":13,"permit":2}}`,
		`{"id":"c5","by":"ann","at":0,"undrain":{"name":"n3"}}`,
		`{"at":0,"return":{"name":"n3","incarnation":13,"permit":2}}`,
		`{"id":"c6","by":"ann","at":0,"start":{"revision":"r2","from":"r1","waves":[0.3,1],"soak":60000000000}}`,
		`{"at":0,"health":{"release":1,"window":7,"rooms":[{"room":"room-a","new":{"requests":40,"failed":1,"refused":0,`+
			`"slow":2},"old":{"requests":200,"failed":2,"refused":1,"slow":0}}]}}`,
		`{"id":"c7","by":"ann","at":0,"halt":{"cause":"a test"}}`,
		`{"id":"c8","by":"ann","at":0,"resume":{}}`,
		`{"at":0,"doubt":{"name":"n5","incarnation":15}}`,
		`{"id":"c9","by":"ann","at":0,"forget":{"name":"n5"}}`,
		`{"id":"c10","by":"bob","at":0,"way_back":{}}`,
		`{"id":"c11","by":"ann","at":0,"start":{"revision":"r3","waves":[0.3,1],"soak":60000000000}}`,
		`{"at":0,"tick":{}}`,
	)
}

func parseCommand(t *testing.T, text string) rollout.Command {
	t.Helper()
	var command rollout.Command
	require.NoError(t, json.Unmarshal([]byte(text), &command), text)
	written, err := json.Marshal(command)
	require.NoError(t, err)
	require.Equal(t, text, string(written), "encoding a decoded command changes its text")
	return command
}

// openReplica opens a replica, and closes it at the end of the test.
func openReplica(t *testing.T, o *Options) *ControlReplica {
	t.Helper()
	replica, err := OpenReplica(o)
	require.NoError(t, err)
	t.Cleanup(replica.Close)
	return replica
}

// awaitLeader waits until the replica leads and has applied all committed entries.
func awaitLeader(t *testing.T, replica *ControlReplica) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, err := replica.Status()
		return err == nil && status.IsLeader && replica.raft.Barrier(time.Second).Error() == nil
	}, 20*time.Second, 5*time.Millisecond)
}

// newReplica opens a replica with the recorded identity and an empty log, and applies the commands of commandTexts.
func newReplica(t *testing.T) (*Options, *ControlReplica) {
	t.Helper()
	o := options(t)
	require.NoError(t, os.MkdirAll(o.LogDirectory, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(o.LogDirectory, "identity"), []byte(recordedIdentity+"\n"), 0o600))
	replica := openReplica(t, o)
	require.NoError(t, replica.Init())
	awaitLeader(t, replica)
	for _, text := range commandTexts() {
		_, err := replica.Apply(parseCommand(t, text))
		require.NoError(t, err, text)
	}
	return o, replica
}

// logEntries returns the commands in a directory's log, one per line.
func logEntries(t *testing.T, dir string) string {
	t.Helper()
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, "log.db")})
	require.NoError(t, err)
	defer func() { _ = store.Close() }()
	last, err := store.LastIndex()
	require.NoError(t, err)
	var lines strings.Builder
	for i := uint64(1); i <= last; i++ {
		var entry raft.Log
		require.NoError(t, store.GetLog(i, &entry))
		if entry.Type == raft.LogCommand {
			lines.Write(append(entry.Data, '\n'))
		}
	}
	return lines.String()
}

var entryTime = regexp.MustCompile(`"at":\d+`)

func withoutEntryTimes(text string) string { return entryTime.ReplaceAllString(text, `"at":0`) }

// recordReplica writes the recorded directory: a log with the commands of commandTexts and one more, and a snapshot of
// all but the last.
func recordReplica(t *testing.T) {
	t.Helper()
	o, replica := newReplica(t)
	require.NoError(t, replica.raft.Snapshot().Error())
	_, err := replica.Apply(parseCommand(t, `{"id":"c12","by":"ann","at":0,"halt":{"cause":"the last entry"}}`))
	require.NoError(t, err)
	require.NoError(t, replica.raft.Shutdown().Error())
	require.NoError(t, filepath.WalkDir(o.LogDirectory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(o.LogDirectory, path)
		require.NoError(t, err)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		if name == "log.db" {
			var packed bytes.Buffer
			w := gzip.NewWriter(&packed)
			_, err = w.Write(content)
			require.NoError(t, err)
			require.NoError(t, w.Close())
			name, content = name+".gz", packed.Bytes()
		}
		writeRecorded(t, filepath.Join("replica", name), content)
		return nil
	}))
}

// recordedReplica copies the recorded directory and returns options that name the copy.
func recordedReplica(t *testing.T) *Options {
	t.Helper()
	if mustRecord(t, "replica/log.db.gz") {
		recordReplica(t)
	}
	o := options(t)
	require.NoError(t, os.CopyFS(o.LogDirectory, os.DirFS(filepath.Join(recordedDir, "replica"))))
	packed, err := os.Open(filepath.Join(o.LogDirectory, "log.db.gz"))
	require.NoError(t, err)
	defer func() { _ = packed.Close() }()
	r, err := gzip.NewReader(packed)
	require.NoError(t, err)
	content, err := io.ReadAll(r)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(o.LogDirectory, "log.db"), content, 0o600))
	require.NoError(t, os.Remove(filepath.Join(o.LogDirectory, "log.db.gz")))
	return o
}

// This build opens the recorded directory of a replica. The identity, the log entries, the state from snapshot and
// log, and the replica's answers are as recorded.
func TestRecordedReplicaIsRead(t *testing.T) {
	o := recordedReplica(t)
	entries := logEntries(t, o.LogDirectory)
	for _, line := range strings.Split(strings.TrimSpace(entries), "\n") {
		parseCommand(t, line)
	}
	recorded.Compare(t, "entries.jsonl", []byte(entries))

	awaitLeader(t, openReplica(t, o))
	status, err := NewClient(o).Status()
	require.NoError(t, err)
	assert.Equal(t, []string{recordedIdentity}, status.Servers)
	state, err := json.Marshal(status.State)
	require.NoError(t, err)
	recorded.Compare(t, "state.json", append(state, '\n'))
	checkAnswers(t, o)
}

// The log entries and the snapshot that this build writes are as recorded, except for the times.
func TestRecordedReplicaIsWritten(t *testing.T) {
	recordedReplica(t)
	o, replica := newReplica(t)
	require.NoError(t, replica.raft.Snapshot().Error())
	snapshots, err := filepath.Glob(filepath.Join(o.LogDirectory, "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.Len(t, snapshots, 1)
	written, err := os.ReadFile(snapshots[0])
	require.NoError(t, err)
	recorded.Compare(t, "snapshot-without-times.json", []byte(withoutStateTimes(string(written))+"\n"))
	require.NoError(t, replica.raft.Shutdown().Error())
	require.NoError(t, replica.store.Close())
	entries, err := os.ReadFile(filepath.Join(recordedDir, "entries.jsonl"))
	require.NoError(t, err)
	lines := strings.SplitAfter(withoutEntryTimes(string(entries)), "\n")
	assert.Equal(t, strings.Join(lines[:len(commandTexts())], ""), withoutEntryTimes(logEntries(t, o.LogDirectory)))
}

var stateTime = regexp.MustCompile(`"(now|changed|before|granted|begun|started|at|may_stop|soak_from)":\d+`)

func withoutStateTimes(text string) string { return stateTime.ReplaceAllString(text, `"$1":0`) }
