package platformconfig

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/admission"
)

// Names maps the settings' names to the indexes that the controller sees.
type Names struct {
	Classes, Tenants, Zones, Kinds map[string]int

	classes []string // by place
}

// Class is the name of a class, where text is how a request spells it: one string for all requests.
func (n *Names) Class(i int, text []byte) string {
	if i < len(n.classes) {
		return n.classes[i]
	}
	return string(text)
}

// Find looks a name up; -1 when it is not there.
func Find(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// Parse reads the settings object that the bench and the configuration share. Keys that are not known are
// skipped; absent ones are zero; a value of a wrong type is an error that names it.
func Parse(text []byte) (admission.Settings, Names, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return admission.Settings{}, Names{}, err
	}
	return parse(v)
}

func parse(v *fastjson.Value) (admission.Settings, Names, error) {
	f := newFacts(v)
	n := Names{
		Zones: index(f.words("zones")), Kinds: index(f.words("skus")), Classes: map[string]int{}, Tenants: map[string]int{},
	}
	s := admission.Settings{
		Me: f.integer("me"), Replicas: f.integer("replicas_of_me"),
		Zone: Find(n.Zones, f.word("locality")), Zones: len(n.Zones), OverQuotaWeight: f.number("over_share_worth"),
		PollDiscovery: f.word("discovery") == "ask", PollInterval: f.dur("rules.ask_every"),
		LoadReporting: pick(f, "reporting.via", map[string]admission.LoadReporting{
			"": admission.NoLoadReports, "silent": admission.NoLoadReports, "piggyback": admission.InBandReports, "pull": admission.HealthCheckReports,
		}),
		Grants: f.yes("family_info.takes_grants"), Priorities: f.yes("family_info.lanes_count"),
		TellsCost: f.yes("family_info.says_cost"), ProgressInterval: f.dur("family_info.tells_every"),
		Shortage: pick(f, "family_info.overbooked", map[string]admission.Shortage{
			"": admission.LineUp, "line_up": admission.LineUp, "cut": admission.Cut, "overcommit": admission.Overcommit,
		}),
		MostGrant: f.number("family_info.most_grant"), CancellationAllowed: f.yes("permissions.cancel"),
		HealthChecksAllowed: f.yes("permissions.probes"), HealthCheckCost: f.number("prices.probe"), GossipAllowed: f.yes("permissions.may_tell"),
		HedgingAllowed: f.yes("permissions.may_duplicate"), MaxAttempts: f.integer("permissions.attempts_cap"),
		MarksRetry: f.yes("callers.marks_retry"), DeadlineSlack: f.dur("rules.answer_slack"),
		DrainGrace: f.dur("rules.drain_grace"),
		SlowStart: admission.SlowStart{
			InitialCapacity: f.number("rules.cold_from"), Duration: f.dur("rules.cold"),
			OverloadMultiple: f.number("rules.fall_multiple"), OverloadWindow: f.dur("rules.overload_for"),
		},
		KeyCooldown: f.dur("rules.settle_after_doubt"),
		RetryBudget: retryBudget(f),
	}
	if f.yes("permissions.retry_after") {
		s.MaxRetryAfter = f.dur("permissions.max_retry_after")
	}
	cores, memory := f.list("family_info.size_cores"), f.list("family_info.kind_memory_mb")
	for i := range f.list("skus") {
		s.Kinds = append(s.Kinds, admission.Kind{Cores: nth(cores, i).integer(""), MemoryMB: nth(memory, i).number("")})
	}
	for i, t := range f.list("tenants") {
		n.Tenants[t.word("name")] = i
		s.Tenants = append(s.Tenants, admission.Tenant{Quota: t.number("fraction"), RequestsPerSecond: t.number("allowance_per_s")})
	}
	for i, c := range f.list("services") {
		n.Classes[c.word("name")] = i
		n.classes = append(n.classes, c.word("name"))
		s.Classes = append(s.Classes, f.class(i, c, n))
	}
	return s, n, *f.err
}

// retryBudget is nil where neither of the keys that limit retries is there.
func retryBudget(f *facts) *admission.RetryBudget {
	// All keys are read in any case, so that a value of a wrong type is an error.
	budget := admission.RetryBudget{
		MinRetries: f.number("rules.spare_attempts"), Ratio: f.number("rules.repeat_ratio"),
		Window: f.dur("rules.ratio_span"),
	}
	if f.at("rules.spare_attempts") == nil && f.at("rules.repeat_ratio") == nil {
		return nil
	}
	return &budget
}

func (f *facts) class(i int, c *facts, n Names) admission.Class {
	out := admission.Class{
		LatencyObjective: c.dur("on_time"), ObjectivePerWork: c.number("aim_stretch"), Deadline: c.dur("deadline"),
		PriorityWeight: c.number("points"), LateWeight: c.number("late_worth"),
		Idempotency: pick(c, "semantics", map[string]admission.Idempotency{
			"read_like": admission.Idempotent, "idempotency_key": admission.IdempotentWithKey, "non_idempotent": admission.NonIdempotent,
		}),
		DeduplicationScope: pick(c, "group", map[string]admission.Scope{
			"": admission.ScopeAll, "all": admission.ScopeAll, "zone": admission.ScopeZone, "cell": admission.ScopeCell,
		}),
		DeduplicationWindow: c.dur("memory_span"), Ordered: c.yes("in_order"), Stream: c.yes("stream"),
		Threads:       nth(f.list("family_info.threads_by_class"), i).integer(""),
		LocksTables:   nth(f.list("family_info.holds_tables"), i).yes(""),
		WaitsForLocks: nth(f.list("family_info.waits_for_loads"), i).yes(""),
	}
	// A name that no list holds stays as -1: it matches no engine, so the bound is kept.
	for _, z := range c.words("stays_in") {
		out.OnlyZones = append(out.OnlyZones, Find(n.Zones, z))
	}
	for _, k := range c.words("runs_on") {
		out.OnlyKinds = append(out.OnlyKinds, Find(n.Kinds, k))
	}
	return out
}

func index(list []string) map[string]int {
	m := make(map[string]int, len(list))
	for i, n := range list {
		m[n] = i
	}
	return m
}

// facts reads fields of a JSON object by their paths, and keeps the first error. A path such as rules.cold
// names a field of an inner object; the empty one names the value itself.
type facts struct {
	v    *fastjson.Value
	name string
	err  *error // shared by all that belong to one object
}

func newFacts(v *fastjson.Value) *facts { return &facts{v: v, err: new(error)} }

func (f *facts) keep(err error) {
	if *f.err == nil {
		*f.err = err
	}
}

// at is the value at a path; nil when it is absent or null.
func (f *facts) at(path string) *fastjson.Value {
	v := f.v
	if path != "" {
		v = v.Get(strings.Split(path, ".")...)
	}
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *facts) check(path string, err error) {
	if err != nil {
		f.keep(fmt.Errorf("%s: %w", strings.Trim(f.name+"."+path, "."), err))
	}
}

// number is a figure; none of the settings may be negative.
func (f *facts) number(path string) (n float64) {
	v := f.at(path)
	if v == nil {
		return 0
	}
	n, err := v.Float64()
	if err != nil || n < 0 || n > mostNumber {
		f.wrong(path, v, "a number from 0 on")
		return 0
	}
	return n
}

// mostNumber is what a duration in nanoseconds can hold.
const mostNumber = math.MaxInt64 / 2

func (f *facts) integer(path string) int {
	n := f.number(path)
	if n != math.Trunc(n) || n > math.MaxInt32 {
		f.wrong(path, f.at(path), "a whole number from 0 on")
		return 0
	}
	return int(n)
}

func (f *facts) dur(path string) time.Duration { return time.Duration(f.number(path)) }

func (f *facts) yes(path string) (b bool) {
	if v := f.at(path); v != nil {
		var err error
		if b, err = v.Bool(); err != nil {
			f.wrong(path, v, "true or false")
		}
	}
	return b
}

func (f *facts) word(path string) string {
	v := f.at(path)
	if v == nil {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		f.wrong(path, v, "a string")
	}
	return string(b)
}

// wrong keeps an error that names the field, its value and what it may be.
func (f *facts) wrong(path string, v *fastjson.Value, allowed string) {
	text := v.String()
	if len(text) > mostShown {
		text = text[:mostShown] + "..."
	}
	f.check(path, fmt.Errorf("%s is not allowed: it must be %s", text, allowed))
}

// mostShown bounds what an error shows of a value: it is one line.
const mostShown = 60

func (f *facts) list(path string) (list []*facts) {
	v := f.at(path)
	if v == nil {
		return nil
	}
	values, err := v.Array()
	if err != nil {
		f.wrong(path, v, "a list")
	}
	for i, v := range values {
		list = append(list, &facts{v: v, name: fmt.Sprintf("%s[%d]", path, i), err: f.err})
	}
	return list
}

func (f *facts) words(path string) (words []string) {
	for _, v := range f.list(path) {
		words = append(words, v.word(""))
	}
	return words
}

// nth is an entry of a list; an absent one reads as zeroes.
func nth(list []*facts, i int) *facts {
	if i < len(list) {
		return list[i]
	}
	return newFacts(nil)
}

func pick[T any](f *facts, path string, m map[string]T) T {
	word := f.word(path)
	v, ok := m[word]
	if !ok {
		words := slices.Sorted(maps.Keys(m))
		f.check(path, fmt.Errorf("%q is not known: it must be one of %q", word, words))
	}
	return v
}
