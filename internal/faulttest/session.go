package faulttest

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Session is one client connection. It implements the part of the MySQL text protocol that the platform uses, and
// reads strictly. It is not safe for concurrent use.
type Session struct {
	conn     net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// errUnexpected is returned if a front end sent bytes without a request, such as a second answer.
var errUnexpected = errors.New("front end sent bytes without a request")

// ServerError is the content of an error packet.
type ServerError struct {
	Code int
	Text string
}

// The error codes that promise that a retry is safe.
const (
	tooManyConnections  = 1040
	tooManyUserSessions = 1203
	resourceLimit       = 1226
)

// Commands, and the first bytes of response packets.
const (
	commandQuit  = 1
	commandQuery = 3
	markOK       = 0
	markEOF      = 0xfe
	markError    = 0xff
	minError     = 9 // bytes of an error packet before its text
)

func (e *ServerError) Error() string { return fmt.Sprintf("error %d: %s", e.Code, e.Text) }

// RetrySafe reports whether the error promises that a retry is safe.
func (e *ServerError) RetrySafe() bool {
	return e.Code == tooManyConnections || e.Code == tooManyUserSessions || e.Code == resourceLimit
}

// login is the client's response to the greeting: protocol 4.1, user app, database bi, no password.
var login = []byte("\x08\x82\x08\x00" + "\x00\x00\x00\x01" + "\x2d" + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" + "app\x00" + "\x00" + "bi\x00" + "mysql_native_password\x00")

// Dial connects and logs in. The timeout applies to each of the two.
func Dial(addr string, timeout time.Duration) (*Session, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	s := &Session{conn: c, reader: bufio.NewReader(c)}
	if err := s.logIn(time.Now().Add(timeout)); err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

// logIn reads the greeting and logs in.
func (s *Session) logIn(deadline time.Time) error {
	if err := s.conn.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := s.readPacket(); err != nil {
		return err
	}
	if err := s.send(1, login); err != nil {
		return err
	}
	_, err := s.readAnswer()
	return err
}

// Close closes the connection. Close of a nil session has no effect.
func (s *Session) Close() {
	if s != nil {
		s.conn.Close()
	}
}

// OneQuery connects, sends login and query in one write, reads the answer and quits.
func OneQuery(addr, statement string, deadline time.Time) ([][]string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	s := &Session{conn: c, reader: bufio.NewReader(c)}
	if _, err := c.Write(append(packet(1, login), packet(0, append([]byte{commandQuery}, statement...))...)); err != nil {
		return nil, err
	}
	if _, err := s.readPacket(); err != nil { // the greeting
		return nil, err
	}
	if _, err := s.readAnswer(); err != nil {
		return nil, err
	}
	rows, err := s.readAnswer()
	if err == nil {
		err = s.send(0, []byte{commandQuit})
	}
	return rows, err
}

// packet returns a packet with a payload.
func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func (s *Session) send(seq byte, payload []byte) error {
	_, err := s.conn.Write(packet(seq, payload))
	return err
}

func (s *Session) readPacket() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		return nil, err
	}
	p := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(s.reader, p)
	return p, err
}

// checkIdle returns an error if the connection has ended, and errUnexpected if the front end has sent bytes.
func (s *Session) checkIdle() error {
	if s.reader.Buffered() > 0 {
		return errUnexpected
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := s.reader.Peek(1)
	var netErr net.Error
	switch {
	case err == nil:
		return errUnexpected
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil
	}
	return err
}

// Query sends one statement and reads the complete answer before the deadline.
func (s *Session) Query(statement string, deadline time.Time) ([][]string, error) {
	if err := s.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err := s.send(0, append([]byte{commandQuery}, statement...)); err != nil {
		return nil, err
	}
	return s.readAnswer()
}

// readAnswer reads an OK packet, an error packet, or a result set of text rows up to its last EOF packet.
func (s *Session) readAnswer() ([][]string, error) {
	var rows [][]string
	for eofs := 0; ; {
		p, err := s.readPacket()
		if err != nil {
			return nil, err
		}
		switch {
		case len(p) == 0:
			return nil, errors.New("empty packet in an answer")
		case p[0] == markError && len(p) >= minError:
			return rows, &ServerError{int(binary.LittleEndian.Uint16(p[1:])), string(p[minError:])}
		case p[0] == markOK && eofs == 0:
			return nil, nil
		case p[0] == markEOF && len(p) < minError:
			if eofs++; eofs == 2 {
				return rows, nil
			}
		case eofs == 1:
			row, err := textRow(p)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
}

// textRow decodes the length-encoded texts of a row. It supports the one-byte and the 0xfc length prefix only, since
// the platform's texts are short.
func textRow(p []byte) (row []string, err error) {
	for len(p) > 0 {
		n, from := int(p[0]), 1
		switch {
		case n == 0xfc && len(p) >= 3:
			n, from = int(binary.LittleEndian.Uint16(p[1:])), 3
		case n > 0xfa:
			return nil, errors.New("row text: found a truncated or unsupported length prefix, allowed are 1 byte and 0xfc")
		}
		if len(p) < from+n {
			return nil, errors.New("row text is truncated: the packet ends before the length of the text")
		}
		row = append(row, string(bytes.Clone(p[from:from+n])))
		p = p[from+n:]
	}
	return row, nil
}
