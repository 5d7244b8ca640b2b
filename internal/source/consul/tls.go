//go:build !lean

package consul

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"strings"

	"beechcart/internal/http1"
)

// canTLS tells whether https can be used.
const canTLS = true

// secure reads the files anew for each connection, so that new keys need no restart.
func (o *Options) secure(at address) (http1.Secure, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: o.ServerName}
	if conf.ServerName == "" {
		conf.ServerName = strings.Trim(at.hostPort[:strings.LastIndexByte(at.hostPort, ':')], "[]")
	}
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, fmt.Errorf("ca_file: %w", err)
		}
		conf.RootCAs = x509.NewCertPool()
		if !conf.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("ca_file: %s holds no certificate", o.CAFile)
		}
	}
	if o.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(o.CertFile, o.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("cert_file: %w", err)
		}
		conf.Certificates = []tls.Certificate{pair}
	}
	return func(ctx context.Context, raw net.Conn) (net.Conn, error) {
		c := tls.Client(raw, conf)
		if err := c.HandshakeContext(ctx); err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		return c, nil
	}, nil
}
