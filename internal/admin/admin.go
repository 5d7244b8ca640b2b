// Package admin serves local requests about a running program on a Unix socket. A client sends the name of a command on
// one line, and the server answers with one JSON document. The socket is opened only if the operators' settings name a
// path for it, and cannot be reached from other machines.
package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"
)

// Command produces the answer to the requests for one command. It may be called from several goroutines at once.
type Command func() (any, error)

const (
	callTimeout = 5 * time.Second
	// probeTimeout limits the connection attempt that detects another program listening on the socket.
	probeTimeout       = time.Second
	acceptRetryDelay   = 100 * time.Millisecond
	maxConcurrentCalls = 4 // each call holds a file descriptor
	maxNameBytes       = 64
	maxAnswerBytes     = 64 << 20
)

// answer is the JSON document that the server sends. One of its fields is set.
type answer struct {
	Error string          `json:"error,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Server answers requests on a Unix socket. Close stops it.
type Server struct {
	listener net.Listener
	commands map[string]Command
	slots    chan struct{} // holds one value for each call in progress
}

// Listen opens a socket at path with permissions for its owner only, and serves commands on it until Close. It replaces
// a socket on which no program listens. It returns an error if path holds a socket in use or a file of another type.
func Listen(path string, commands map[string]Command) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin_socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return nil, fmt.Errorf("admin_socket: %w", err)
	}
	s := &Server{listener: listener, commands: commands, slots: make(chan struct{}, maxConcurrentCalls)}
	go s.serve()
	return s, nil
}

func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // net.Listen reports any other problem with the path
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("admin_socket: %s exists and is not a socket", path)
	}
	if c, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		c.Close()
		return fmt.Errorf("admin_socket: another program is listening on %s", path)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("admin_socket: %w", err)
	}
	return nil
}

// Close closes the listening socket. Calls in progress are still answered.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // most likely the process is out of file descriptors
			continue
		}
		s.slots <- struct{}{}
		go func() {
			s.answerCall(c)
			<-s.slots
		}()
	}
}

func (s *Server) answerCall(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	line, err := bufio.NewReader(io.LimitReader(c, maxNameBytes)).ReadString('\n')
	if err != nil {
		return
	}
	_ = json.NewEncoder(c).Encode(s.run(strings.TrimSpace(line)))
}

// run runs the named command and returns its result, or an error if the command is unknown or fails.
func (s *Server) run(name string) answer {
	command := s.commands[name]
	if command == nil {
		known := strings.Join(slices.Sorted(maps.Keys(s.commands)), ", ")
		return answer{Error: fmt.Sprintf("unknown command %q; there are %s", name, known)}
	}
	value, err := command()
	if err != nil {
		return answer{Error: err.Error()}
	}
	document, err := json.Marshal(value)
	if err != nil {
		return answer{Error: err.Error()}
	}
	return answer{Value: document}
}

// Call runs the named command in the program that listens at path, and returns the command's value as JSON. An error of
// the command is returned with the command's own text.
func Call(path, name string) (json.RawMessage, error) {
	c, err := net.DialTimeout("unix", path, callTimeout)
	if err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	if _, err := io.WriteString(c, name+"\n"); err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	var a answer
	if err := json.NewDecoder(io.LimitReader(c, maxAnswerBytes)).Decode(&a); err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	if a.Error != "" {
		return nil, errors.New(a.Error)
	}
	return a.Value, nil
}
