package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// answerKind is how a request was answered.
type answerKind string

const (
	served  answerKind = "served"
	refused answerKind = "refused"
	failed  answerKind = "failed"
	lost    answerKind = "lost" // the connection ended, or nothing came in time
)

type answer struct {
	kind answerKind
	rows string // columns separated by tabs, rows ended by line feeds
	text string
}

// session is the client side of one connection.
type session struct {
	conn net.Conn
	r    *bufio.Reader
	id   uint32
}

const loginPayload = "\x08\x82\x08\x00\x00\x00\x00\x01\x2d" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"app\x00\x00bi\x00mysql_native_password\x00"

// dialSession connects and logs in.
func dialSession(address string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	greeting, err := s.packet()
	if err != nil {
		conn.Close()
		return nil, err
	}
	if _, rest, ok := strings.Cut(string(greeting), "\x00"); ok && len(rest) >= 4 {
		s.id = binary.LittleEndian.Uint32([]byte(rest))
	}
	if err := s.send(1, loginPayload); err != nil {
		conn.Close()
		return nil, err
	}
	if ok, err := s.packet(); err != nil || len(ok) == 0 || ok[0] != 0 {
		conn.Close()
		return nil, errors.New("login was not accepted")
	}
	return s, nil
}

func (s *session) send(sequence byte, payload string) error {
	n := len(payload)
	_, err := io.WriteString(s.conn, string([]byte{byte(n), byte(n >> 8), byte(n >> 16), sequence})+payload)
	return err
}

func (s *session) packet() ([]byte, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(s.r, head); err != nil {
		return nil, err
	}
	p := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(s.r, p)
	return p, err
}

// ping reports whether COM_PING is answered with OK.
func (s *session) ping() bool {
	if s.send(0, "\x0e") != nil {
		return false
	}
	p, err := s.packet()
	return err == nil && len(p) > 0 && p[0] == 0
}

// query sends one statement and reads its answer until the given time.
func (s *session) query(statement string, until time.Time) answer {
	_ = s.conn.SetDeadline(until)
	if err := s.send(0, "\x03"+statement); err != nil {
		return answer{kind: lost, text: err.Error()}
	}
	var rows strings.Builder
	for eofs := 0; eofs < 2; {
		p, err := s.packet()
		switch {
		case err != nil:
			return answer{kind: lost, text: err.Error()}
		case len(p) > 9 && p[0] == 0xff:
			return errorAnswer(p, rows.Len() > 0)
		case len(p) == 5 && p[0] == 0xfe:
			eofs++
		case eofs == 1:
			if err := appendRow(&rows, p); err != nil {
				return answer{kind: lost, text: err.Error()}
			}
		}
	}
	return answer{kind: served, rows: rows.String()}
}

func errorAnswer(p []byte, afterRow bool) answer {
	code := int(p[1]) | int(p[2])<<8
	text := fmt.Sprintf("%d %s", code, p[9:])
	if (code == 1040 || code == 1203 || code == 1226) && !afterRow {
		return answer{kind: refused, text: text}
	}
	return answer{kind: failed, text: text}
}

func appendRow(b *strings.Builder, p []byte) error {
	var cells []string
	for len(p) > 0 {
		n, head := int(p[0]), 1
		if p[0] == 0xfc && len(p) > 2 {
			n, head = int(p[1])|int(p[2])<<8, 3
		}
		if head+n > len(p) {
			return errors.New("a row can't be read")
		}
		cells, p = append(cells, string(p[head:head+n])), p[head+n:]
	}
	b.WriteString(strings.Join(cells, "\t") + "\n")
	return nil
}
