// Package loopback is how every stand-in listens: on an address of this machine's loopback range, and on no other.
package loopback

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
)

// Listen opens a listener at an address of the loopback range; port 0 takes any. Any other address is an error.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		l.Close()
		return nil, fmt.Errorf("stand-in: %s is not a loopback address", addr)
	}
	return l, nil
}

// Serve answers on a listener until the server is closed. What goes wrong on a connection is said to nobody: stand-ins
// break connections on purpose.
func Serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(l) }()
	return s
}
