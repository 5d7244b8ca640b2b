// Package record stores the measurements of scale runs, and fits straight lines to them. A measurement is a sample of
// a named quantity at a fleet size. Samples are kept as JSON files under bench/scale, the only input from which
// docs/CAPACITY.md is rendered.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/google/renameio/v2"
)

// FormatVersion is the version of the file format that this package writes and reads.
const FormatVersion = 1

// Role is the kind of process that a quantity describes.
type Role string

// The roles of a fleet.
const (
	FrontEnd       Role = "front_end"
	ControlReplica Role = "control_replica"
	Database       Role = "database"
	ChangeLog      Role = "change_log"
	OperatorTool   Role = "operator_tool"
)

// Size is the size of a fleet: the independent variables that a quantity may grow with.
type Size struct {
	Members  int `json:"members"`            // front ends
	Engines  int `json:"engines"`            // databases
	Sessions int `json:"sessions,omitempty"` // client connections to one front end
	Rate     int `json:"rate,omitempty"`     // statements, messages or changes per second, depending on the quantity
}

// Sample is one measured value of a quantity. The quantity's name ends in its unit, as the names of Prometheus metrics
// do: "_bytes", "_seconds", "_bytes_per_second", "_cores".
type Sample struct {
	Quantity string  `json:"quantity"`
	Role     Role    `json:"role"`
	Size     Size    `json:"size"`
	Repeat   int     `json:"repeat"` // number of the run at this size, from 1
	Value    float64 `json:"value"`
}

// Recording is the result of one measuring command.
type Recording struct {
	Version  int       `json:"version"`
	Name     string    `json:"name"`    // file name without the extension
	Command  string    `json:"command"` // command line that reproduces the samples
	At       time.Time `json:"at"`
	Commit   string    `json:"commit"` // commit of the measured source tree
	Cores    int       `json:"cores"`  // CPU cores of the measuring machine
	Settings string    `json:"settings,omitempty"`
	Notes    []string  `json:"notes,omitempty"` // limits of the samples: partial, disturbed, harness share subtracted
	Samples  []Sample  `json:"samples"`
}

// quantityName matches the allowed names of quantities.
var quantityName = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)

// Check returns an error that names the first invalid field.
func (r *Recording) Check() error {
	switch {
	case r.Version != FormatVersion:
		return fmt.Errorf("record: version: found %d, allowed is %d", r.Version, FormatVersion)
	case r.Name == "" || filepath.Base(r.Name) != r.Name:
		return fmt.Errorf("record: name: found %q, allowed is a plain file name", r.Name)
	case r.Command == "":
		return errors.New("record: command: found none, allowed is a command line")
	case len(r.Samples) == 0:
		return errors.New("record: samples: found none, allowed is at least one")
	}
	for i, s := range r.Samples {
		if !quantityName.MatchString(s.Quantity) {
			return fmt.Errorf("record: samples[%d]: quantity: found %q, allowed is snake_case with a unit", i, s.Quantity)
		}
		if math.IsNaN(s.Value) || math.IsInf(s.Value, 0) {
			return fmt.Errorf("record: samples[%d]: value of %s: found %v, allowed is a finite number", i, s.Quantity, s.Value)
		}
	}
	return nil
}

// Save checks the recording and atomically writes it to dir/NAME.json. It sets Version to FormatVersion, and creates
// dir if that is missing.
func (r *Recording) Save(dir string) error {
	r.Version = FormatVersion
	if err := r.Check(); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if err := renameio.WriteFile(filepath.Join(dir, r.Name+".json"), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// Load reads and checks all recordings of a directory, sorted by file name.
func Load(dir string) ([]Recording, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	slices.Sort(paths)
	var recordings []Recording
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
		var r Recording
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("record: %s: %w", path, err)
		}
		if err := r.Check(); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		recordings = append(recordings, r)
	}
	return recordings, nil
}

// Select returns the samples of one quantity from all recordings.
func Select(recordings []Recording, quantity string) []Sample {
	var samples []Sample
	for _, r := range recordings {
		for _, s := range r.Samples {
			if s.Quantity == quantity {
				samples = append(samples, s)
			}
		}
	}
	return samples
}
