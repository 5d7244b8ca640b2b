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

// canTLS reports whether this build supports TLS.
const canTLS = true

// secure returns the function that performs the TLS handshake with an address. It reads the files for each connection,
// so that new keys need no restart.
func (o *Options) secure(at address) (http1.Secure, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: o.ServerName}
	if config.ServerName == "" {
		config.ServerName = strings.Trim(at.hostPort[:strings.LastIndexByte(at.hostPort, ':')], "[]")
	}
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, fmt.Errorf("ca_file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("ca_file: %s: found no certificate in PEM format", o.CAFile)
		}
	}
	if o.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(o.CertFile, o.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("cert_file: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return func(ctx context.Context, raw net.Conn) (net.Conn, error) {
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		return conn, nil
	}, nil
}
