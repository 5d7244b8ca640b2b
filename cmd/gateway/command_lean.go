//go:build lean

package main

import (
	"errors"
	"os"
)

// execute runs the front end as the platform starts it. The library of the command line and TLS cost 3 MB resident,
// and the platform needs neither: its build leaves them out (docs/consul.md has the figures).
func execute() error {
	if len(os.Args) > 1 {
		return usageError{errors.New("this build (tag lean) takes no arguments: PROXY_CONFIG names the configuration, " +
			"BEECHCART_SETTINGS the operators' settings")}
	}
	return run(&configPaths{platform: os.Getenv("PROXY_CONFIG"), operators: os.Getenv("BEECHCART_SETTINGS")})
}
