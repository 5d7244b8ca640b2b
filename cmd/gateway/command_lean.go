//go:build lean

package main

import (
	"errors"
	"os"
)

// execute runs the front end with the files that the environment variables name. The lean build leaves out the
// command-line library and TLS: they take 3 MB of resident memory and the platform needs neither (docs/consul.md has
// the figures).
func execute() error {
	if len(os.Args) > 1 {
		return usageError{errors.New("this build (tag lean) takes no arguments: PROXY_CONFIG names the configuration, " +
			"BEECHCART_SETTINGS the operators' settings")}
	}
	return run(&configPaths{platform: os.Getenv("PROXY_CONFIG"), operators: os.Getenv("BEECHCART_SETTINGS")})
}
