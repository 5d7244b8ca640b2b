package admission

import (
	"strings"
	"testing"
)

func TestNewNamesInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Replicas":                     func(settings *Settings) { settings.Replicas = 0 },
		"Classes":                      func(settings *Settings) { settings.Classes = nil },
		"Classes[1].Deadline":          func(settings *Settings) { settings.Classes[1].Deadline = 0 },
		"Kinds[0]":                     func(settings *Settings) { settings.Kinds[0].Cores = -1 },
		"Tenants[1].RequestsPerSecond": func(settings *Settings) { settings.Tenants[1].RequestsPerSecond = -1 },
		"RetryBudget.Window":           func(settings *Settings) { settings.RetryBudget = &RetryBudget{} },
	} {
		settings := baseSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error is %v, want one that names the field", field, err)
		}
	}
}
