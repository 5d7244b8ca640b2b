package operatorconfig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// ResolveFiles reads the fleet's key into the settings, and returns an error for the first file that the settings name
// and that is not accessible. The check is valid only on the machine that the front end runs on.
func (s *Settings) ResolveFiles() error {
	if s.Source == SourceConsul {
		if err := s.checkConsulFiles(); err != nil {
			return err
		}
	}
	if s.Fleet.GossipAddress != "" {
		key, err := os.ReadFile(s.Fleet.KeyFile)
		if err != nil {
			return fmt.Errorf("fleet.key_file: %w", err)
		}
		s.Fleet.Key = strings.TrimSpace(string(key))
	}
	return s.checkCertificate()
}

func (s *Settings) checkConsulFiles() error {
	for _, file := range []struct{ key, path string }{
		{"token_file", s.Consul.TokenFile},
		{"ca_file", s.Consul.CAFile},
		{"cert_file", s.Consul.CertFile},
		{"key_file", s.Consul.KeyFile},
	} {
		if file.path == "" {
			continue
		}
		if _, err := os.Stat(file.path); err != nil {
			var pathError *fs.PathError
			if errors.As(err, &pathError) {
				err = pathError.Err // the error below names the path
			}
			return fmt.Errorf("consul.%s: %s: %w", file.key, file.path, err)
		}
	}
	return nil
}

// Check returns an error for the first setting that is out of a bound set by another setting.
func (s *Settings) Check() error {
	if err := s.Consul.Membership.Check(); err != nil {
		return fmt.Errorf("membership.%w", err)
	}
	if err := s.Consul.Poll.Check(); err != nil {
		return fmt.Errorf("consul.%w", err)
	}
	return s.checkCertificate()
}

func (s *Settings) checkCertificate() error {
	if (s.Consul.CertFile == "") != (s.Consul.KeyFile == "") {
		return errors.New("consul: cert_file and key_file go together")
	}
	return nil
}
