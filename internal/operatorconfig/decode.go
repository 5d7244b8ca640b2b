package operatorconfig

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/valyala/fastjson"

	"beechcart/decision/discovery"
	"beechcart/internal/source/consul"
)

// SchemaVersion is the version of the JSON that gatewayctl builds.
const SchemaVersion = 1

// Load reads a file built by gatewayctl. If path is empty, Load returns the defaults.
func Load(path string) (Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if strings.HasSuffix(path, ".cue") {
		return Settings{}, fmt.Errorf("settings %s: the front end reads built settings: run 'gatewayctl config build %s'",
			path, path)
	}
	s, err := Parse(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes the JSON that gatewayctl builds. An absent key keeps its default. An unknown key is an
// UnknownFieldError, a value that is not allowed is a FieldError.
func Parse(text []byte) (Settings, error) {
	s := Default()
	document, err := fastjson.ParseBytes(text)
	if err != nil {
		return s, err
	}
	version := 0
	if err := settingsDecoder(&s, &version).decode("", document); err != nil {
		return s, err
	}
	switch {
	case version == 0:
		return s, errors.New("schema: missing: the file was not written by 'gatewayctl config build'")
	case version > SchemaVersion:
		return s, fmt.Errorf("schema: %d is later than %d, the latest that this program reads", version, SchemaVersion)
	case len(s.Consul.Addresses) == 0:
		return s, errors.New("consul.addresses: at least one is needed")
	}
	return s, nil
}

func settingsDecoder(s *Settings, version *int) objectDecoder {
	return objectDecoder{
		"schema": integer(version, 1, 1<<30),
		"source": oneOf(&s.Source, SourceChangeLog, SourceConsul),
		"log": objectDecoder{
			"level":  logLevel(&s.Log.Level),
			"format": oneOf(&s.Log.Format, "text", "json"),
		}.decode,
		"consul":     consulDecoder(&s.Consul).decode,
		"membership": discoveryDecoder(&s.Consul.Membership).decode,
		"last_good": objectDecoder{
			"path":           text(&s.EndpointCache.Path),
			"write_every_ms": milliseconds(&s.EndpointCache.WriteInterval),
			"max_age_ms":     milliseconds(&s.EndpointCache.MaxAge),
		}.decode,
		"clients": objectDecoder{
			"idle_ms":      milliseconds(&s.Clients.IdleTimeout),
			"max_sessions": integer(&s.Clients.MaxSessions, 0, 1<<20),
		}.decode,
		"engines":      objectDecoder{"reuse": oneOf(&s.Reuse, ReuseAuto, ReuseOn, ReuseOff)}.decode,
		"admin_socket": text(&s.AdminSocket),
		"fleet":        fleetDecoder(&s.Fleet).decode,
	}
}

func consulDecoder(o *consul.Options) objectDecoder {
	return objectDecoder{
		"addresses":      textList(&o.Addresses),
		"service":        text(&o.Service),
		"datacenter":     text(&o.Datacenter),
		"namespace":      text(&o.Namespace),
		"tag":            text(&o.Tag),
		"filter":         text(&o.Filter),
		"passing":        boolean(&o.Passing),
		"consistency":    oneOf(&o.Consistency, "default", "stale", "consistent"),
		"token_file":     text(&o.TokenFile),
		"ca_file":        text(&o.CAFile),
		"server_name":    text(&o.ServerName),
		"cert_file":      text(&o.CertFile),
		"key_file":       text(&o.KeyFile),
		"max_body_mb":    megabytes(&o.MaxBody),
		"connect_ms":     milliseconds(&o.Connect),
		"wait_ms":        milliseconds(&o.Poll.Wait),
		"slack_ms":       milliseconds(&o.Poll.ResponseTimeout),
		"max_slack_ms":   milliseconds(&o.Poll.MaxResponseTimeout),
		"confirm_ms":     milliseconds(&o.Poll.ConfirmInterval),
		"min_gap_ms":     milliseconds(&o.Poll.MinInterval),
		"max_read_share": fraction(&o.Poll.MaxBusyShare),
		"min_pause_ms":   milliseconds(&o.Poll.MinBackoff),
		"max_pause_ms":   milliseconds(&o.Poll.MaxBackoff),
		"hold_ms":        milliseconds(&o.Poll.DeniedBackoff),
		"map": objectDecoder{
			"zone":       text(&o.Mapping.Zone),
			"kind":       text(&o.Mapping.Kind),
			"cell":       text(&o.Mapping.Cell),
			"weight":     text(&o.Mapping.Weight),
			"mark":       text(&o.Mapping.Mark),
			"started":    text(&o.Mapping.Started),
			"drain_tag":  text(&o.Mapping.DrainTag),
			"drain_meta": text(&o.Mapping.DrainMeta),
		}.decode,
	}
}

func discoveryDecoder(s *discovery.Settings) objectDecoder {
	return objectDecoder{
		"max_lag_ms":       milliseconds(&s.MaxStaleness),
		"max_out":          fraction(&s.MaxEjected),
		"max_loss":         fraction(&s.MaxLoss),
		"loss_window_ms":   milliseconds(&s.LossWindow),
		"confirm_reads":    integer(&s.ConfirmReads, 1, 1000),
		"confirm_after_ms": milliseconds(&s.ConfirmAfter),
		"doubt_for_ms":     milliseconds(&s.MaxSuspicion),
		"reset_after_ms":   milliseconds(&s.ResetAfter),
		"penalty":          number(&s.Penalty),
		"half_life_ms":     milliseconds(&s.HalfLife),
		"suppress":         number(&s.Suppress),
		"reuse":            number(&s.Reuse),
		"max_suppress_ms":  milliseconds(&s.MaxSuppress),
		"linger_ms":        milliseconds(&s.Linger),
	}
}

func fleetDecoder(f *Fleet) objectDecoder {
	return objectDecoder{
		"room":        text(&f.Zone),
		"kind":        text(&f.Kind),
		"revision":    text(&f.Revision),
		"weight":      number(&f.CapacityPerSecond),
		"gossip":      text(&f.GossipAddress),
		"keepers":     controlReplicas(&f.ControlReplicas),
		"dir":         text(&f.LogDirectory),
		"key_file":    text(&f.KeyFile),
		"routes":      dialOverrides(&f.DialOverrides),
		"disk_faults": text(&f.DiskFaultFile),
		"ahead_ms":    milliseconds(&f.ClockSkew),
	}
}
