// Package loopback lets fake servers listen on addresses of this machine's loopback range, and on no others.
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
		return nil, fmt.Errorf("fake server: %s is not a loopback address", addr)
	}
	return l, nil
}

// Serve answers on a listener from a goroutine that ends with the server. Errors on connections are not logged: fake
// servers break connections on purpose.
func Serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(l) }()
	return s
}
