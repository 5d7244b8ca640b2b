package mysql

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"beechcart/internal/unixio"
)

// readBufferBytes is the size of the buffers into which sockets are read. A buffer is in use only while its input is
// processed, so idle sessions have none.
const readBufferBytes = 16 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// connection is the socket of a session. One goroutine at a time may read, and one may write.
type connection struct {
	file   *os.File // nonblocking, polled by the Go runtime
	raw    syscall.RawConn
	fd     int32
	remote net.Addr
	closed func() // called once the descriptor is closed

	consume   func(input []byte)    // receives the input, which is valid during the call
	readOnce  func(fd uintptr) bool // readAvailable
	readError error                 // of the latest readOnce
	readFull  bool                  // the latest readOnce has filled its buffer: there may be more input
	burstAt   time.Time             // the time of the first read since the latest one that has not filled its buffer

	writeOnce  func(fd uintptr) bool // writeAvailable
	unwritten  []byte                // what the latest writeOnce has left
	writeError error                 // of the latest writeOnce
	// blockedSince is the time since which a write waits for the client to read; nil: no write waits.
	blockedSince atomic.Pointer[time.Time]
	// receiving is true while input moves from the kernel's receive buffer to consume.
	receiving atomic.Bool
	// drained reports that the latest read found no input left.
	drained atomic.Bool
}

// newConnection takes ownership of an accepted connection, also if it returns an error. consume is called for all
// input, during read.
func newConnection(socket acceptedSocket, consume func(input []byte)) (*connection, error) {
	file := os.NewFile(uintptr(socket.fd), "client")
	raw, err := file.SyscallConn()
	if err == nil {
		err = unix.SetsockoptInt(socket.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	if err != nil {
		_ = file.Close()
		socket.closed()
		return nil, err
	}
	conn := &connection{
		file: file, raw: raw, fd: int32(socket.fd), remote: socket.remote, closed: socket.closed, consume: consume,
	}
	conn.readOnce, conn.writeOnce = conn.readAvailable, conn.writeAvailable
	return conn, nil
}

// read waits for input and passes it to consume. It returns io.EOF once the client has closed its side.
func (c *connection) read() error {
	if err := c.raw.Read(c.readOnce); err != nil {
		return err
	}
	return c.readError
}

// readAvailable reads once. It returns false if there is no input yet.
func (c *connection) readAvailable(fd uintptr) bool {
	c.receiving.Store(true)
	defer c.receiving.Store(false)
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	n, err := unixio.RetryInterrupted(func() (int, error) { return unix.Read(int(fd), buffer[:]) })
	switch {
	case errors.Is(err, unix.EAGAIN):
		c.drained.Store(true)
		return false
	case err != nil:
		c.readError = err
	case n == 0:
		c.readError = io.EOF
	default:
		c.drained.Store(false)
		if !c.readFull {
			c.burstAt = time.Now()
		}
		c.readFull = n == len(buffer)
		c.consume(buffer[:n])
	}
	return true
}

// hasUnread reports whether input is in the kernel's receive buffer, or on its way from there to consume. The order of
// the checks matters: input that leaves the kernel's buffer after the first one is found by the second one, or by a
// later check of what consume has received.
func (c *connection) hasUnread() bool {
	n, err := unix.IoctlGetInt(int(c.fd), unix.TIOCINQ)
	return (err == nil && n > 0) || c.receiving.Load()
}

// write writes b whole, and waits until the deadline for a client that reads slowly.
func (c *connection) write(b []byte, deadline time.Time) error {
	c.unwritten = b
	defer func() { c.unwritten = nil }()
	if err := c.raw.Write(c.writeOnce); err != nil {
		return err
	}
	if c.writeError != nil || len(c.unwritten) == 0 {
		return c.writeError
	}
	now := time.Now()
	c.blockedSince.Store(&now)
	defer c.blockedSince.Store(nil)
	if err := c.file.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if _, err := c.file.Write(c.unwritten); err != nil {
		return err
	}
	return c.file.SetWriteDeadline(time.Time{})
}

// writeAvailable writes as much as fits into the kernel's buffer.
func (c *connection) writeAvailable(fd uintptr) bool {
	n, err := unixio.RetryInterrupted(func() (int, error) { return unix.Write(int(fd), c.unwritten) })
	if c.writeError = err; errors.Is(err, unix.EAGAIN) {
		c.writeError = nil
	}
	c.unwritten = c.unwritten[max(n, 0):]
	return true
}

// hangUp ends both directions at once. Unlike close, it neither waits nor needs the processor again, so a request that
// arrives later crosses the end of the connection by no more than the network's delay.
func (c *connection) hangUp() { _ = unix.Shutdown(int(c.fd), unix.SHUT_RDWR) }

// endAfter makes read fail after the timeout.
func (c *connection) endAfter(timeout time.Duration) {
	_ = c.file.SetReadDeadline(time.Now().Add(timeout))
}

// closeWrite tells the client that nothing more follows.
func (c *connection) closeWrite() {
	_ = c.raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_WR) })
}

// close closes the socket. It waits for the goroutines that read and write, and so must not be called during consume. A
// call returns at once while another one waits.
func (c *connection) close() {
	if err := c.file.Close(); !errors.Is(err, os.ErrClosed) {
		c.closed()
	}
}

// closeSoon closes the socket without waiting.
func (c *connection) closeSoon() { go c.close() }
