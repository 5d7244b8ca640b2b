package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"beechcart/internal/membudget"
	"beechcart/internal/unixio"
)

// inputBufferBytes is the size of the buffer into which a response is read first. It holds every response of the size
// that the protocol allows, with its head.
const inputBufferBytes = 8 << 10

var inputBuffers = sync.Pool{New: func() any { return new([inputBufferBytes]byte) }}

// errNoInputMemory reports a response that is larger than inputBufferBytes, and for which there is no memory.
var errNoInputMemory = errors.New("engine: no memory for a large response")

// stream is a TCP connection to an engine or to the change log. It reads the socket only when its user asks for input,
// and keeps no buffer while there is none, so a peer that sends without end takes no more memory than the user allows.
// Only close and resetOnClose may be called concurrently with other methods.
type stream struct {
	tcp    *net.TCPConn
	raw    syscall.RawConn
	memory *membudget.Budget // for buffers of more than inputBufferBytes; nil: unlimited

	buffer     []byte                  // nil: there is no input
	pooled     *[inputBufferBytes]byte // the memory of buffer; nil: buffer has memory of its own
	start, end int                     // the input in buffer
	readOnce   func(fd uintptr) bool   // readAvailable
	readNow    func(fd uintptr)        // readAvailable, without its result
	readError  error                   // of the latest readOnce; io.EOF after the end of the peer's output

	mu       sync.Mutex
	reserved int  // guarded by mu; bytes reserved for buffer
	closed   bool // guarded by mu
}

func newStream(tcp *net.TCPConn, memory *membudget.Budget) (*stream, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &stream{tcp: tcp, raw: raw, memory: memory}
	s.readOnce = s.readAvailable
	s.readNow = func(fd uintptr) { s.readAvailable(fd) }
	return s, nil
}

// input returns the input that has been received and not discarded. It is valid until the next call of another method.
func (s *stream) input() []byte { return s.buffer[s.start:s.end] }

func (s *stream) inputSize() int { return s.end - s.start }

// fill waits until more input has arrived, and appends it to the input, which holds at most limit bytes afterwards.
func (s *stream) fill(limit int, deadline time.Time) error {
	if err := s.makeSpace(limit); err != nil {
		return err
	}
	if err := s.tcp.SetReadDeadline(deadline); err != nil {
		return err
	}
	err := s.raw.Read(s.readOnce)
	if errors.Is(err, os.ErrDeadlineExceeded) && s.fillAvailable() {
		return nil // the input came in time, but this process was not scheduled
	}
	if err != nil {
		return err
	}
	return s.readError
}

// fillAvailable appends input that has arrived, as far as the buffer has space, without waiting. It reports whether
// there was any.
func (s *stream) fillAvailable() bool {
	before := s.inputSize()
	if s.buffer != nil && s.end == len(s.buffer) {
		return false
	}
	_ = s.raw.Control(s.readNow)
	return s.inputSize() > before
}

// makeSpace makes space behind the input: it moves the input to the start of its buffer, or to a larger buffer of at
// most limit bytes.
func (s *stream) makeSpace(limit int) error {
	if s.buffer == nil || s.end < len(s.buffer) {
		return nil
	}
	if s.start > 0 {
		s.start, s.end = 0, copy(s.buffer, s.input())
		return nil
	}
	size := min(2*len(s.buffer), limit)
	if size <= len(s.buffer) {
		return errTooLarge
	}
	if !s.reserve(size) {
		return errNoInputMemory
	}
	grown := make([]byte, size)
	copy(grown, s.buffer)
	s.freeBuffer()
	s.buffer = grown
	return nil
}

// readAvailable reads once. It returns false if there is no input yet.
func (s *stream) readAvailable(fd uintptr) bool {
	if s.buffer == nil {
		s.pooled = inputBuffers.Get().(*[inputBufferBytes]byte)
		s.buffer = s.pooled[:]
	}
	n, err := unixio.RetryInterrupted(func() (int, error) { return unix.Read(int(fd), s.buffer[s.end:]) })
	switch {
	case errors.Is(err, unix.EAGAIN):
		s.discard(0)
		return false
	case errors.Is(err, unix.ETIMEDOUT): // the connection is broken: this is no timeout of the caller
		s.readError = fmt.Errorf("engine: connection lost: %s", err.Error())
	case err != nil:
		s.readError = fmt.Errorf("engine: connection lost: %w", err)
	case n == 0:
		s.readError = io.EOF
	default:
		s.end += n
	}
	return true
}

// discard discards the first n bytes of the input. Without input, the buffer is freed.
func (s *stream) discard(n int) {
	if s.start += n; s.start < s.end {
		return
	}
	s.freeBuffer()
	s.buffer, s.start, s.end = nil, 0, 0
	s.reserve(0)
}

func (s *stream) freeBuffer() {
	if s.pooled != nil {
		inputBuffers.Put(s.pooled)
		s.pooled = nil
	}
}

// reserve changes the reserved memory to that of a buffer of the given size. It returns false if there is no memory, or
// if the stream is closed.
func (s *stream) reserve(size int) bool {
	if size <= inputBufferBytes {
		size = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || (size > s.reserved && !s.memory.TryReserve(size-s.reserved)) {
		return false
	}
	if size < s.reserved {
		s.memory.Release(s.reserved - size)
	}
	s.reserved = size
	return true
}

// write writes head and body within the timeout.
func (s *stream) write(head, body []byte, timeout time.Duration) error {
	if err := s.tcp.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if len(body) == 0 {
		_, err := s.tcp.Write(head)
		return err
	}
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(s.tcp)
	return err
}

// unacknowledged returns the number of bytes that the kernel of the peer's host has not acknowledged.
func (s *stream) unacknowledged() (n int, err error) {
	controlErr := s.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, errors.Join(controlErr, err)
}

// isOpen reports whether neither side has closed the connection, as far as input has been read.
func (s *stream) isOpen() bool { return !s.isClosed() && s.readError == nil }

// isClosed reports whether close was called.
func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// resetOnClose lets close reset the connection, so that the kernel sends no more bytes.
func (s *stream) resetOnClose() { _ = s.tcp.SetLinger(0) }

// close closes the connection and releases its reserved memory. Further calls have no effect.
func (s *stream) close() {
	s.mu.Lock()
	wasClosed := s.closed
	s.closed = true
	s.memory.Release(s.reserved)
	s.reserved = 0
	s.mu.Unlock()
	if !wasClosed {
		_ = s.tcp.Close()
	}
}
