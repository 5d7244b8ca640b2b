package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"time"

	"beechcart/internal/scale"
	"beechcart/internal/scale/record"
)

// recordDir is the directory of the recordings of scale runs, relative to the root of the repository.
const recordDir = "bench/scale"

// save writes a recording if --record is set, and returns the samples of the recording: with --append, those saved
// before included. Without --record it returns samples.
func (s *scaleRun) save(samples []record.Sample, began time.Time) ([]record.Sample, error) {
	if s.record == "" {
		return samples, nil
	}
	notes := slices.Concat([]string{"per member: hollow members that are no control replicas; the share of a host " +
		"process without members is taken off",
		"in force is measured on drains of databases: nothing carries a configuration yet"}, s.notes)
	r := &record.Recording{Name: s.record, Command: "gatewayctl " + strings.Join(os.Args[1:], " "),
		At:     began.UTC().Truncate(time.Second),
		Commit: headCommit(), Settings: fmt.Sprintf("%d hollow members to a host process, with GOMAXPROCS=%d",
			s.options.PerHost, scale.HostProcessors), Cores: runtime.NumCPU(), Notes: notes, Samples: samples}
	if s.add {
		if err := addSaved(r); err != nil {
			return nil, err
		}
	}
	return r.Samples, r.Save(recordDir)
}

// headCommit returns the commit of the working directory, or the empty string if the commit is unknown.
func headCommit() string {
	text, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// addSaved adds the samples, commands and notes of the saved recording of the same name, if there is one, to r. The
// saved samples come first.
func addSaved(r *record.Recording) error {
	saved, err := record.Load(recordDir)
	if err != nil {
		return err
	}
	for _, old := range saved {
		if old.Name != r.Name {
			continue
		}
		r.Samples, r.At = append(old.Samples, r.Samples...), old.At
		r.Command = old.Command + "\n" + r.Command
		if old.Commit != r.Commit {
			r.Notes = append(r.Notes, "samples before those of "+r.Commit+" are of commit "+old.Commit)
		}
		for _, note := range old.Notes {
			if !slices.Contains(r.Notes, note) {
				r.Notes = append(r.Notes, note)
			}
		}
	}
	return nil
}
