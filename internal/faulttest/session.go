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

// Session is one connection of a client: the MySQL text protocol, as far as the platform uses it, read strictly.
type Session struct {
	c    net.Conn
	r    *bufio.Reader
	used time.Time
}

// errSurplus tells that a front end sent more than one answer.
var errSurplus = errors.New("bytes that belong to no answer")

// ServerError is an error packet.
type ServerError struct {
	Code int
	Text string
}

func (e *ServerError) Error() string { return fmt.Sprintf("error %d: %s", e.Code, e.Text) }

// Harmless tells an error that promises that a repeat is harmless.
func (e *ServerError) Harmless() bool { return e.Code == 1040 || e.Code == 1203 || e.Code == 1226 }

// login is the client's answer to the greeting: protocol 4.1, user app, database bi, no password.
var login = []byte("\x08\x82\x08\x00" + "\x00\x00\x00\x01" + "\x2d" + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" + "app\x00" + "\x00" + "bi\x00" + "mysql_native_password\x00")

// Dial connects and logs in.
func Dial(addr string, wait time.Duration) (*Session, error) {
	c, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	s := &Session{c: c, r: bufio.NewReader(c)}
	if err = c.SetDeadline(time.Now().Add(wait)); err == nil {
		if _, err = s.packet(); err == nil {
			if err = s.send(1, login); err == nil {
				_, err = s.answer()
			}
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

// Close ends the session; a nil one too.
func (s *Session) Close() {
	if s != nil {
		s.c.Close()
	}
}

// OneQuery connects, writes login and query in one, reads the answer and quits.
func OneQuery(addr, statement string, deadline time.Time) ([][]string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	s := &Session{c: c, r: bufio.NewReader(c)}
	if _, err := c.Write(append(packet(1, login), packet(0, append([]byte{3}, statement...))...)); err != nil {
		return nil, err
	}
	if _, err := s.packet(); err != nil { // the greeting
		return nil, err
	}
	if _, err := s.answer(); err != nil {
		return nil, err
	}
	rows, err := s.answer()
	if err == nil {
		err = s.send(0, []byte{1}) // COM_QUIT
	}
	return rows, err
}

// packet makes a packet of a payload.
func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func (s *Session) send(seq byte, payload []byte) error {
	_, err := s.c.Write(packet(seq, payload))
	return err
}

func (s *Session) packet() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return nil, err
	}
	p := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(s.r, p)
	return p, err
}

// fresh tells whether the session is open and nothing unasked has come.
func (s *Session) fresh() error {
	if s.r.Buffered() > 0 {
		return errSurplus
	}
	_ = s.c.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := s.r.Peek(1)
	var t net.Error
	switch {
	case err == nil:
		return errSurplus
	case errors.As(err, &t) && t.Timeout():
		return nil
	}
	return err
}

// Query sends one statement and reads its whole answer before the deadline.
func (s *Session) Query(statement string, deadline time.Time) ([][]string, error) {
	if err := s.c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err := s.send(0, append([]byte{3}, statement...)); err != nil {
		return nil, err
	}
	return s.answer()
}

// answer reads OK, an error, or a result set of text rows up to its last EOF.
func (s *Session) answer() ([][]string, error) {
	var rows [][]string
	for eofs := 0; ; {
		p, err := s.packet()
		if err != nil {
			return nil, err
		}
		switch {
		case len(p) == 0:
			return nil, errors.New("an empty packet")
		case p[0] == 0xff && len(p) >= 9:
			return rows, &ServerError{int(binary.LittleEndian.Uint16(p[1:])), string(p[9:])}
		case p[0] == 0 && eofs == 0:
			return nil, nil
		case p[0] == 0xfe && len(p) < 9:
			if eofs++; eofs == 2 {
				return rows, nil
			}
		case eofs == 1:
			row, err := cells(p)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
}

// cells reads the length-coded texts of a row. Those of the platform are short.
func cells(p []byte) (row []string, err error) {
	for len(p) > 0 {
		n, from := int(p[0]), 1
		switch {
		case n == 0xfc && len(p) >= 3:
			n, from = int(binary.LittleEndian.Uint16(p[1:])), 3
		case n > 0xfa:
			return nil, errors.New("a text of no known length")
		}
		if len(p) < from+n {
			return nil, errors.New("a row that ends early")
		}
		row = append(row, string(bytes.Clone(p[from:from+n])))
		p = p[from+n:]
	}
	return row, nil
}
