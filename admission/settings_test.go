package admission

import (
	"strings"
	"testing"
)

func TestNewNamesTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Replicas":                     func(s *Settings) { s.Replicas = 0 },
		"Classes":                      func(s *Settings) { s.Classes = nil },
		"Classes[1].Deadline":          func(s *Settings) { s.Classes[1].Deadline = 0 },
		"Kinds[0]":                     func(s *Settings) { s.Kinds[0].Cores = -1 },
		"Tenants[1].RequestsPerSecond": func(s *Settings) { s.Tenants[1].RequestsPerSecond = -1 },
		"RetryBudget.Window":           func(s *Settings) { s.RetryBudget = &RetryBudget{} },
	} {
		s := baseSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error is %v", field, err)
		}
	}
}
