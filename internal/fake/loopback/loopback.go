// Package loopback lets fake servers listen on addresses of this machine's loopback range, and on no others.
package loopback

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
)

// Listen opens a listener at an address of the loopback range; port 0 selects a free port. Any address outside
// the range is an error.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		l.Close()
		return nil, fmt.Errorf("fake server: address: found %s, must be in the loopback range", addr)
	}
	return l, nil
}

// Serve serves HTTP on a listener in a goroutine that ends when the server is closed. Connection errors are not logged,
// because fake servers break connections on purpose.
func Serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(l) }()
	return s
}
