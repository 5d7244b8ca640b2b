package main

import (
	"fmt"
	"os"

	"beechcart/internal/operatorconfig"
	"beechcart/internal/platformconfig"
)

// configPaths holds the paths of the two files that configure a front end.
type configPaths struct {
	platform  string
	operators string // empty: default settings
}

// configuration is the parsed content of the two files.
type configuration struct {
	platform  *platformconfig.Config
	operators operatorconfig.Settings
}

// load reads both files and makes every check that needs no running front end.
func (p *configPaths) load() (configuration, error) {
	var c configuration
	var err error
	if c.operators, err = operatorconfig.Load(p.operators); err != nil {
		return c, err
	}
	if err := c.operators.ResolveFiles(); err != nil {
		return c, fmt.Errorf("settings %s: %w", p.operators, err)
	}
	if c.platform, err = platformconfig.Load(p.platform, os.Getenv); err != nil {
		return c, err
	}
	if err := c.platform.Check(); err != nil {
		return c, fmt.Errorf("configuration %s: %w", p.platform, err)
	}
	if c.operators.Source == operatorconfig.SourceChangeLog && c.platform.ChangeLog == "" {
		return c, fmt.Errorf("configuration %s: changelog: no address is given; the settings' source needs one", p.platform)
	}
	return c, nil
}
