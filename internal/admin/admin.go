// Package admin is the local door of a running program: a Unix socket that takes one word and answers with one JSON
// document. It is off unless the operators' settings name a path, and reaches nobody beyond the machine.
package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sort"
	"strings"
	"time"
)

// Command answers one word. It may be called from several goroutines at once.
type Command func() (any, error)

// The bounds of a call.
const (
	callWait = 5 * time.Second
	mostWord = 64
	mostText = 64 << 20
)

// answer is what goes over the socket.
type answer struct {
	Error string          `json:"error,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Door is a listening socket.
type Door struct {
	l        net.Listener
	commands map[string]Command
	slots    chan struct{}
}

// Listen opens a socket at path that only its owner can use. A socket that nobody listens on is replaced; anything
// else at that path is an error.
func Listen(path string, commands map[string]Command) (*Door, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("admin_socket: %s is there and no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("admin_socket: another program listens on %s", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin_socket: %w", err)
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin_socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("admin_socket: %w", err)
	}
	d := &Door{l: l, commands: commands, slots: make(chan struct{}, 4)}
	go d.serve()
	return d, nil
}

// Close ends the socket.
func (d *Door) Close() { d.l.Close() }

func (d *Door) serve() {
	for {
		c, err := d.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond) // out of descriptors, most likely
			continue
		}
		d.slots <- struct{}{} // bounds the descriptors that the door holds
		go func() {
			d.call(c)
			<-d.slots
		}()
	}
}

func (d *Door) call(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callWait))
	word, err := bufio.NewReader(io.LimitReader(c, mostWord)).ReadString('\n')
	if err != nil {
		return
	}
	var a answer
	word = strings.TrimSpace(word)
	if cmd := d.commands[word]; cmd == nil {
		a.Error = fmt.Sprintf("unknown command %q; there are %s", word, strings.Join(d.words(), ", "))
	} else if v, err := cmd(); err != nil {
		a.Error = err.Error()
	} else if a.Value, err = json.Marshal(v); err != nil {
		a.Error = err.Error()
	}
	_ = json.NewEncoder(c).Encode(a)
}

func (d *Door) words() []string {
	var words []string
	for w := range d.commands {
		words = append(words, w)
	}
	sort.Strings(words)
	return words
}

// Call asks the program at path, and returns its answer as JSON.
func Call(path, word string) (json.RawMessage, error) {
	c, err := net.DialTimeout("unix", path, callWait)
	if err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callWait))
	if _, err := io.WriteString(c, word+"\n"); err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	var a answer
	if err := json.NewDecoder(io.LimitReader(c, mostText)).Decode(&a); err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	if a.Error != "" {
		return nil, errors.New(a.Error)
	}
	return a.Value, nil
}
