package platformconfig

import (
	"github.com/valyala/fastjson"

	"beechcart/admission"
)

// Parse decodes the settings object, which has the same form in the simulator's begin messages and in the platform's
// configuration. Unknown keys are skipped; absent keys are zero; a value of a wrong type is an error that names the
// key.
func Parse(text []byte) (admission.Settings, Names, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return admission.Settings{}, Names{}, err
	}
	return decodeSettings(v)
}

func decodeSettings(v *fastjson.Value) (admission.Settings, Names, error) {
	d := newDecoder(v)
	names := Names{
		Zones:   indexes(d.texts("zones")),
		Kinds:   indexes(d.texts("skus")),
		Classes: map[string]int{},
		Tenants: map[string]int{},
	}
	s := admission.Settings{
		Me:                  d.integer("me"),
		Replicas:            d.integer("replicas_of_me"),
		Zone:                IndexOf(names.Zones, d.text("locality")),
		Zones:               len(names.Zones),
		OverQuotaWeight:     d.number("over_share_worth"),
		PollDiscovery:       d.text("discovery") == "ask",
		PollInterval:        d.duration("rules.ask_every"),
		LoadReporting:       oneOf(d, "reporting.via", loadReporting),
		GrantsSupported:     d.boolean("family_info.takes_grants"),
		PrioritiesSupported: d.boolean("family_info.lanes_count"),
		CostReported:        d.boolean("family_info.says_cost"),
		ProgressInterval:    d.duration("family_info.tells_every"),
		MemoryShortage:      oneOf(d, "family_info.overbooked", memoryShortages),
		MaxGrantFraction:    d.number("family_info.most_grant"),
		CancellationAllowed: d.boolean("permissions.cancel"),
		HealthChecksAllowed: d.boolean("permissions.probes"),
		HealthCheckCost:     d.number("prices.probe"),
		GossipAllowed:       d.boolean("permissions.may_tell"),
		HedgingAllowed:      d.boolean("permissions.may_duplicate"),
		MaxAttempts:         d.integer("permissions.attempts_cap"),
		RetriesMarked:       d.boolean("callers.marks_retry"),
		DeadlineSlack:       d.duration("rules.answer_slack"),
		DrainGrace:          d.duration("rules.drain_grace"),
		SlowStart:           slowStart(d),
		KeyCooldown:         d.duration("rules.settle_after_doubt"),
		RetryBudget:         retryBudget(d),
	}
	if d.boolean("permissions.retry_after") {
		s.MaxRetryAfter = d.duration("permissions.max_retry_after")
	}
	s.Kinds = kinds(d)
	for i, t := range d.list("tenants") {
		names.Tenants[t.text("name")] = i
		s.Tenants = append(s.Tenants, admission.Tenant{
			Quota: t.number("fraction"), RequestsPerSecond: t.number("allowance_per_s"),
		})
	}
	for i, c := range d.list("services") {
		name := c.text("name")
		names.Classes[name] = i
		names.classes = append(names.classes, name)
		s.Classes = append(s.Classes, class(d, i, c, names))
	}
	return s, names, *d.err
}

var loadReporting = map[string]admission.LoadReporting{
	"":          admission.NoLoadReports,
	"silent":    admission.NoLoadReports,
	"piggyback": admission.InBandReports,
	"pull":      admission.HealthCheckReports,
}

var memoryShortages = map[string]admission.MemoryShortage{
	"":           admission.WaitForMemory,
	"line_up":    admission.WaitForMemory,
	"cut":        admission.SpillToDisk,
	"overcommit": admission.Overcommit,
}

var idempotencies = map[string]admission.Idempotency{
	"read_like":       admission.Idempotent,
	"idempotency_key": admission.IdempotentWithKey,
	"non_idempotent":  admission.NonIdempotent,
}

var deduplicationScopes = map[string]admission.Scope{
	"":     admission.ScopeAll,
	"all":  admission.ScopeAll,
	"zone": admission.ScopeZone,
	"cell": admission.ScopeCell,
}

func slowStart(d *decoder) admission.SlowStart {
	return admission.SlowStart{
		InitialCapacity:  d.number("rules.cold_from"),
		Duration:         d.duration("rules.cold"),
		OverloadMultiple: d.number("rules.fall_multiple"),
		OverloadWindow:   d.duration("rules.overload_for"),
	}
}

// retryBudget returns nil if both keys that limit retries are absent.
func retryBudget(d *decoder) *admission.RetryBudget {
	// All keys are decoded in any case, so that a value of a wrong type is an error.
	budget := admission.RetryBudget{
		MinRetries: d.number("rules.spare_attempts"),
		Ratio:      d.number("rules.repeat_ratio"),
		Window:     d.duration("rules.ratio_span"),
	}
	if !d.has("rules.spare_attempts") && !d.has("rules.repeat_ratio") {
		return nil
	}
	return &budget
}

// kinds decodes the kinds of engines. Entry i of the lists of cores and of memory belongs to entry i of the names.
func kinds(d *decoder) (list []admission.Kind) {
	cores, memory := d.list("family_info.size_cores"), d.list("family_info.kind_memory_mb")
	for i := range d.list("skus") {
		list = append(list, admission.Kind{
			Cores: element(cores, i).integer(""), MemoryMB: element(memory, i).number(""),
		})
	}
	return list
}

// class decodes class i from its own object, c, and from the lists in the settings object, d, that hold one value for
// each class.
func class(d *decoder, i int, c *decoder, names Names) admission.Class {
	decoded := admission.Class{
		LatencyObjective:    c.duration("on_time"),
		ObjectivePerWork:    c.number("aim_stretch"),
		Deadline:            c.duration("deadline"),
		PriorityWeight:      c.number("points"),
		LateWeight:          c.number("late_worth"),
		Idempotency:         oneOf(c, "semantics", idempotencies),
		DeduplicationScope:  oneOf(c, "group", deduplicationScopes),
		DeduplicationWindow: c.duration("memory_span"),
		Ordered:             c.boolean("in_order"),
		Stream:              c.boolean("stream"),
		Threads:             element(d.list("family_info.threads_by_class"), i).integer(""),
		LocksTables:         element(d.list("family_info.holds_tables"), i).boolean(""),
		WaitsForLocks:       element(d.list("family_info.waits_for_loads"), i).boolean(""),
	}
	// An unknown name becomes notFound, which matches no engine. Without an entry for it, a list of unknown names would be
	// empty, which stands for no restriction.
	for _, zone := range c.texts("stays_in") {
		decoded.OnlyZones = append(decoded.OnlyZones, IndexOf(names.Zones, zone))
	}
	for _, kind := range c.texts("runs_on") {
		decoded.OnlyKinds = append(decoded.OnlyKinds, IndexOf(names.Kinds, kind))
	}
	return decoded
}
