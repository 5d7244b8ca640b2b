// Package admin serves local requests about a running program: a Unix socket that takes the name of a command and
// answers with one JSON document. It is off unless the operators' settings name a path, and reaches nobody beyond the
// machine.
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

// Command answers requests of one name. It may be called from several goroutines at once.
type Command func() (any, error)

const (
	callTimeout = 5 * time.Second
	// probeTimeout is how long another program that may listen on the socket has to accept.
	probeTimeout       = time.Second
	acceptRetryDelay   = 100 * time.Millisecond
	maxConcurrentCalls = 4 // each holds a descriptor
	maxNameBytes       = 64
	maxAnswerBytes     = 64 << 20
)

// answer is the document that goes over the socket.
type answer struct {
	Error string          `json:"error,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Server is a listening socket.
type Server struct {
	listener net.Listener
	commands map[string]Command
	slots    chan struct{} // holds one value for each call
}

// Listen opens a socket at path that only its owner can use, and serves it until Close. A socket that nobody listens on
// is replaced; anything else at that path is an error.
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
		return nil // net.Listen tells what else is wrong with the path
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("admin_socket: %s is there and no socket", path)
	}
	if c, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		c.Close()
		return fmt.Errorf("admin_socket: another program listens on %s", path)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("admin_socket: %w", err)
	}
	return nil
}

// Close ends the socket. Calls that are being answered go on.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // out of descriptors, most likely
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

// run answers a request for the command of a name.
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

// Call runs a command of the program that listens at path, and returns its answer.
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
