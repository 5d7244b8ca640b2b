package rollout_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/recorded"
)

// reencode decodes a JSON text into a new value of the type and encodes the value.
func reencode[T any](t *testing.T, text []byte) []byte {
	t.Helper()
	var value T
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&value))
	written, err := json.Marshal(value)
	require.NoError(t, err)
	return written
}

// The entries of the log: one line for each type of command, with every field set.
func TestRecordedCommands(t *testing.T) {
	const shared = 3 // fields of every command: ID, RequestedBy, At
	command := reflect.TypeOf(rollout.Command{})
	var lines bytes.Buffer
	for i := shared; i < command.NumField(); i++ {
		filler := recorded.Filler{Count: 100 * i}
		value := reflect.New(command).Elem()
		for field := range shared {
			filler.Fill(value.Field(field))
		}
		filler.Fill(value.Field(i))
		text, err := json.Marshal(value.Interface())
		require.NoError(t, err)
		assert.Equal(t, string(text), string(reencode[rollout.Command](t, text)))
		lines.Write(append(text, '\n'))
	}
	recorded.Compare(t, "commands.jsonl", lines.Bytes())
}

// A result with every field set, as the HTTP interface of replicas sends it.
func TestRecordedResult(t *testing.T) {
	var result rollout.Result
	var filler recorded.Filler
	filler.Fill(reflect.ValueOf(&result).Elem())
	text, err := json.Marshal(result)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(reencode[rollout.Result](t, text)))
	recorded.Compare(t, "result.json", text)
}

// A snapshot with every field set is the same after Restore and Snapshot.
func TestRecordedSnapshot(t *testing.T) {
	var state rollout.State
	var filler recorded.Filler
	filler.Fill(reflect.ValueOf(&state).Elem())
	state.Version, state.Settings = 1, rollout.Defaults()
	text, err := json.Marshal(state)
	require.NoError(t, err)
	machine := newMachine(t, "{}")
	require.NoError(t, machine.Restore(text))
	written, err := machine.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, string(text), string(written))
	recorded.Compare(t, "snapshot.json", text)
}

// newMachine returns the state machine of an empty fleet. Its settings are the defaults, overridden by a JSON text.
func newMachine(t *testing.T, overrides string) *rollout.StateMachine {
	t.Helper()
	settings := rollout.Defaults()
	require.NoError(t, json.Unmarshal([]byte(overrides), &settings))
	machine, err := rollout.New(settings)
	require.NoError(t, err)
	return machine
}

// snapshot holds the fields of a snapshot from which the run draws its commands. Decoding matches the field names with
// the names in the JSON text.
type snapshot struct {
	Members map[string]struct {
		Incarnation, Seq uint64
		Revision, Wanted string
		Phase            string
		Doubted          bool
	}
	Engines map[string]struct{ Process uint64 }
	Permits map[uint64]permitView
	Release *struct{ Number, Window uint64 }
}

type permitView struct {
	Number, Incarnation uint64
	Holder              string
	Engine              bool
	Begun               int64
	MayStop             int64 `json:"may_stop"`
}

// seededRun applies commands of every type, drawn from a seed as JSON texts, and hashes every result and the state.
type seededRun struct {
	t        *testing.T
	machine  *rollout.StateMachine
	rng      *rand.Rand
	now      time.Duration
	snapshot snapshot
	hash     hash.Hash64
	counts   map[string]int
	ids      int
	sent     []string
}

func (r *seededRun) refresh() {
	text, err := r.machine.Snapshot()
	require.NoError(r.t, err)
	_, _ = r.hash.Write(text)
	r.snapshot = snapshot{}
	require.NoError(r.t, json.Unmarshal(text, &r.snapshot))
	for _, permit := range r.snapshot.Permits {
		if permit.MayStop > 0 {
			r.counts["state may stop"]++
		}
	}
}

// apply applies one command. The text contains no time; the run sets it.
func (r *seededRun) apply(text string) {
	r.now += time.Duration(r.rng.IntN(600)) * time.Millisecond
	var command rollout.Command
	require.NoError(r.t, json.Unmarshal([]byte(text), &command), text)
	command.At = r.now
	result, err := json.Marshal(r.machine.Apply(command))
	require.NoError(r.t, err)
	_, _ = r.hash.Write(result)
	var kind map[string]json.RawMessage
	require.NoError(r.t, json.Unmarshal([]byte(text), &kind))
	var answer struct {
		Refusal *struct{ Code string }
		State   string
	}
	require.NoError(r.t, json.Unmarshal(result, &answer))
	for name := range kind {
		if name == "id" || name == "by" {
			continue
		}
		if name += " done"; answer.Refusal != nil {
			name = name[:len(name)-len("done")] + answer.Refusal.Code
		}
		r.counts[name]++
	}
	if answer.State != "" {
		r.counts["release "+answer.State]++
	}
	if r.sent = append(r.sent, text); len(r.sent) > 40 {
		r.sent = r.sent[1:]
	}
}

func (r *seededRun) member() string { return fmt.Sprint("n", r.rng.IntN(12)) }
func (r *seededRun) engine() string { return fmt.Sprint("e", r.rng.IntN(6)) }
func (r *seededRun) zone(name string) string {
	return fmt.Sprint("room-", string(rune('a'+int(name[len(name)-1])%3)))
}

func (r *seededRun) report(name string, incarnation, seq uint64, revision, phase string) string {
	return fmt.Sprintf(`{"say":{"name":%q,"room":%q,"kind":"std-%d","weight":%d,`+
		`"incarnation":%d,"seq":%d,"revision":%q,"phase":%q}}`,
		name, r.zone(name), len(name), 8+r.rng.IntN(3), incarnation, seq, revision, phase)
}

// nextProcessReport returns the first report of a member's next process.
func (r *seededRun) nextProcessReport(name, phase string) string {
	member := r.snapshot.Members[name]
	revision := member.Wanted
	if revision == "" {
		revision = "r0"
	}
	return r.report(name, member.Incarnation+1, 1, revision, phase)
}

func (r *seededRun) sameProcessReport(name, phase string) string {
	member := r.snapshot.Members[name]
	return r.report(name, max(1, member.Incarnation), member.Seq+1, member.Revision, phase)
}

// withID adds an operator and an id to a command, at times an id that was used before.
func (r *seededRun) withID(format string, args ...any) string {
	if r.ids++; r.rng.IntN(20) == 0 {
		r.ids--
	}
	return fmt.Sprintf(`{"id":"op%d","by":"ann",`, r.ids) + fmt.Sprintf(format, args...)[1:]
}

func (r *seededRun) permit() (permitView, bool) {
	numbers := r.machine.PermitNumbers()
	if len(numbers) == 0 {
		return permitView{}, false
	}
	permit, ok := r.snapshot.Permits[numbers[r.rng.IntN(len(numbers))]]
	return permit, ok
}

func (r *seededRun) count(requests, failures int) string {
	return fmt.Sprintf(`{"requests":%d,"failed":%d,"refused":%d,"slow":%d}`,
		requests, r.rng.IntN(failures+1), r.rng.IntN(3), r.rng.IntN(4))
}

func (r *seededRun) health() string {
	if r.snapshot.Release == nil {
		return `{"tick":{}}`
	}
	bad := 1
	if r.rng.IntN(60) == 0 {
		bad = 40
	}
	return fmt.Sprintf(`{"health":{"release":%d,"window":%d,"rooms":[`+
		`{"room":"room-a","new":%s,"old":%s},{"room":"room-b","new":%s,"old":%s}]}}`,
		r.snapshot.Release.Number, r.snapshot.Release.Window+uint64(r.rng.IntN(3)),
		r.count(50+r.rng.IntN(100), bad), r.count(300, 3), r.count(60, bad), r.count(200, 2))
}

// permitCommand draws a message about a permit, of its holder or, for an engine, of the front ends.
func (r *seededRun) permitCommand() string {
	p, ok := r.permit()
	switch {
	case !ok:
		return `{"tick":{}}`
	case p.Engine && r.rng.IntN(6) == 0:
		return fmt.Sprintf(`{"engine":{"name":%q,"room":%q,"cores":12,"process":%d,"listed":true,"ready":true}}`,
			p.Holder, r.zone(p.Holder), p.Incarnation+1)
	case p.Engine:
		for name := range 12 {
			r.apply(r.drainReport(fmt.Sprint("n", name), p.Number))
		}
		return r.drainReport(r.member(), p.Number)
	case p.Begun == 0 || r.rng.IntN(6) == 0:
		return fmt.Sprintf(`{"begin":{"name":%q,"incarnation":%d,"permit":%d}}`, p.Holder, p.Incarnation, p.Number)
	}
	switch r.rng.IntN(6) {
	case 0:
		return fmt.Sprintf(`{"return":{"name":%q,"incarnation":%d,"permit":%d}}`, p.Holder, p.Incarnation, p.Number)
	case 1:
		return r.sameProcessReport(p.Holder, "leaving")
	case 2:
		return r.sameProcessReport(p.Holder, "gone")
	}
	return r.nextProcessReport(p.Holder, "serving")
}

// drainReport returns a member's report that the engine of a permit is drained, at times from an older process.
func (r *seededRun) drainReport(name string, permit uint64) string {
	incarnation := max(1, r.snapshot.Members[name].Incarnation) - uint64(r.rng.IntN(100)/99)
	return fmt.Sprintf(`{"empty":{"name":%q,"incarnation":%d,"permit":%d}}`, name, incarnation, permit)
}

func (r *seededRun) engineCommand() string {
	name := r.engine()
	process := r.snapshot.Engines[name].Process + uint64(r.rng.IntN(3))/2
	return fmt.Sprintf(`{"engine":{"name":%q,"room":%q,"kind":"std-12","cores":12,"process":%d,"listed":%v,"ready":%v}}`,
		name, r.zone(name), process, r.rng.IntN(6) > 0, r.rng.IntN(6) > 0)
}

func (r *seededRun) subject() string {
	if p, ok := r.permit(); ok && r.rng.IntN(4) == 0 {
		return fmt.Sprintf(`{"name":%q,"engine":%v}`, p.Holder, p.Engine)
	}
	if r.rng.IntN(2) == 0 {
		return fmt.Sprintf(`{"name":%q,"engine":true}`, r.engine())
	}
	return fmt.Sprintf(`{"name":%q}`, r.member())
}

func (r *seededRun) operatorCommand() string {
	switch r.rng.IntN(16) {
	case 0, 1:
		return r.withID(`{"drain":%s}`, r.subject())
	case 2, 3:
		if p, ok := r.permit(); ok {
			return r.withID(`{"undrain":{"name":%q,"engine":%v}}`, p.Holder, p.Engine)
		}
		return r.withID(`{"undrain":%s}`, r.subject())
	case 4:
		if r.rng.IntN(3) == 0 {
			return r.withID(`{"forget":%s}`, r.subject())
		}
	case 5, 6, 7:
		return r.withID(`{"start":{"revision":"r%d","waves":[0.1,0.5,1],"soak":%d}}`,
			r.rng.IntN(40), r.rng.IntN(1000)*1000_000)
	case 8:
		if r.rng.IntN(3) > 0 {
			break
		}
		return r.withID(`{"halt":{"cause":"a test"}}`)
	case 9, 10, 11, 12:
		return r.withID(`{"resume":{}}`)
	case 13:
		if r.rng.IntN(3) > 0 {
			break
		}
		return r.withID(`{"way_back":{}}`)
	case 14:
		return r.withID(`{"configure":%s}`, r.drawSettings())
	case 15:
		return r.withID(`{"start":{"revision":"r1","waves":[0.5,0.2]}}`)
	}
	return `{"tick":{}}`
}

func (r *seededRun) drawSettings() string {
	settings := rollout.Defaults()
	require.NoError(r.t, json.Unmarshal([]byte(recordedSettings), &settings))
	settings.Engines.Max = r.rng.IntN(3) // 0 is rejected
	text, err := json.Marshal(settings)
	require.NoError(r.t, err)
	return string(text)
}

// draw returns the next command.
func (r *seededRun) draw() string {
	name := r.member()
	member := r.snapshot.Members[name]
	switch r.rng.IntN(24) {
	case 0:
		return r.disturbance(name)
	case 1, 2, 3, 4, 5: // an unavailable member serves again
		for range 20 {
			if member.Doubted || member.Phase == "gone" || member.Phase == "starting" {
				break
			}
			name = r.member()
			member = r.snapshot.Members[name]
		}
		if member.Phase == "gone" {
			return r.nextProcessReport(name, "serving")
		}
		return r.sameProcessReport(name, "serving")
	case 6, 7, 8, 9, 10, 11:
		return r.permitCommand()
	case 12:
		return r.engineCommand()
	case 13, 14, 15, 16:
		return r.health()
	case 17:
		return fmt.Sprintf(`{"load":{"front_ends":%d,"engines":%d}}`, r.rng.IntN(70), r.rng.IntN(40))
	case 18, 19, 20:
		return r.operatorCommand()
	case 21:
		return r.sent[r.rng.IntN(len(r.sent))]
	}
	return `{"tick":{}}`
}

// disturbance returns a crash, a stale report or a suspicion of a member.
func (r *seededRun) disturbance(name string) string {
	member := r.snapshot.Members[name]
	switch r.rng.IntN(4) {
	case 0:
		return r.nextProcessReport(name, []string{"starting", "serving", "odd"}[r.rng.IntN(3)])
	case 1:
		return r.report(name, member.Incarnation, uint64(r.rng.IntN(int(member.Seq)+1)), "odd", "serving")
	case 2:
		return fmt.Sprintf(`{"doubt":{"name":%q,"incarnation":%d}}`, name, member.Incarnation)
	}
	return r.nextProcessReport(name, "serving")
}

const recordedSettings = `{"front_ends":{"most":3,"share":0.3,"room_share":0.5,"kind_share":0.6,"headroom":0.1},
	"engines":{"most":2,"room_most":1,"headroom":0.1},"way_back":{"share":0.4,"room_share":0.5},
	"judge":{"alpha":0.05,"tolerance":1.25,"least":60,"dispersion":2},
	"not_back":9000000000,"crash_loop":1,"keep_ids":20,"keep_audit":30,"keep_gone":3}`

// hashStatus hashes the plan, the deadline, the budgets and the blockers.
func (r *seededRun) hashStatus() {
	deadline, ok := r.machine.NextDeadline()
	var plan rollout.StartRelease
	require.NoError(r.t, json.Unmarshal([]byte(`{"revision":"p","waves":[0.2,1],"soak":1000}`), &plan))
	waves, err := r.machine.Plan(plan)
	require.NoError(r.t, err)
	status := []any{deadline, ok, r.machine.Budgets(), r.machine.ReleaseBlockers(), waves}
	for _, number := range r.machine.PermitNumbers() {
		status = append(status, number, r.machine.DrainBlockers(number))
	}
	text, err := json.Marshal(status)
	require.NoError(r.t, err)
	_, _ = r.hash.Write(text)
}

// Records a hash over all results and snapshots of a seeded run, and the number of each result for each type of
// command.
func TestRecordedRun(t *testing.T) {
	type outcome struct {
		Seed   uint64         `json:"seed"`
		Hash   string         `json:"hash"`
		Counts map[string]int `json:"counts"`
	}
	var outcomes []outcome
	for seed := range uint64(3) {
		sum := fnv.New64a()
		r := &seededRun{t: t, machine: newMachine(t, recordedSettings), rng: rand.New(rand.NewPCG(seed, 32)),
			now: time.Hour, hash: sum, counts: map[string]int{}}
		for i := range 12 {
			r.apply(r.report(fmt.Sprint("n", i), 1, 1, "r0", "serving"))
		}
		for range 6 {
			r.apply(r.engineCommand())
		}
		for step := range 1000 {
			if step%6 == 0 {
				r.refresh()
			}
			if step%16 == 0 {
				r.hashStatus()
			}
			r.apply(r.draw())
		}
		r.refresh()
		outcomes = append(outcomes, outcome{seed, fmt.Sprintf("%016x", sum.Sum64()), r.counts})
	}
	text, err := json.MarshalIndent(outcomes, "", "  ")
	require.NoError(t, err)
	recorded.Compare(t, "run.json", append(text, '\n'))
}
