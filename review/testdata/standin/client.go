//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is a client's session.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	id   uint32 // the connection id of the greeting
}

// answer is a final answer. Code is 0 for a result set.
type answer struct {
	rows []string
	code int
	text string
}

// kind names an answer as the protocol page does.
func (a answer) kind() string {
	switch a.code {
	case 0:
		return "served"
	case 1040, 1203, 1226:
		return "refused"
	}
	return "failed"
}

const loginPayload = "\x08\x82\x08\x00" + "\x00\x00\x00\x01" + "\x2d" + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" + "app\x00" + "\x00" + "bi\x00" + "mysql_native_password\x00"

func packet(sequence byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), sequence}) + payload
}

// dialClient opens a session and logs in.
func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(90 * time.Second))
	if _, err := io.WriteString(conn, packet(1, loginPayload)); err != nil {
		return nil, err
	}
	greeting, err := c.packet()
	if err != nil {
		c.close()
		return nil, err
	}
	_, rest, _ := bytes.Cut(greeting, []byte{0})
	if len(rest) < 4 {
		c.close()
		return nil, errors.New("no greeting")
	}
	c.id = binary.LittleEndian.Uint32(rest)
	if p, err := c.packet(); err != nil || len(p) == 0 || p[0] != 0 {
		c.close()
		return nil, fmt.Errorf("login: %q %w", p, err)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) packet() ([]byte, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return nil, err
	}
	p := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(c.r, p)
	return p, err
}

func (c *client) command(payload string) error {
	_, err := io.WriteString(c.conn, packet(0, payload))
	return err
}

// ping sends COM_PING and expects OK.
func (c *client) ping() error {
	if err := c.command("\x0e"); err != nil {
		return err
	}
	p, err := c.packet()
	if err == nil && (len(p) == 0 || p[0] != 0) {
		err = errors.New("not OK")
	}
	return err
}

// read reads one answer to COM_QUERY. The error is set if the connection ends before the whole answer.
func (c *client) read() (a answer, err error) {
	for eofs := 0; eofs < 2; {
		p, err := c.packet()
		switch {
		case err != nil:
			return a, err
		case p[0] == 0xff:
			a.code, a.text = int(binary.LittleEndian.Uint16(p[1:])), string(p[9:])
			return a, nil
		case p[0] == 0xfe && len(p) < 9:
			eofs++
		case eofs == 1:
			row, err := textRow(p)
			if err != nil {
				return a, err
			}
			a.rows = append(a.rows, row)
		}
	}
	return a, nil
}

// textRow joins the columns of a row with tabs.
func textRow(p []byte) (string, error) {
	var columns []string
	for len(p) > 0 {
		n, size := int(p[0]), 1
		if p[0] == 0xfc && len(p) >= 3 {
			n, size = int(p[1])|int(p[2])<<8, 3
		}
		if len(p) < size+n {
			return "", errors.New("row is cut off")
		}
		columns, p = append(columns, string(p[size:size+n])), p[size+n:]
	}
	return strings.Join(columns, "\t"), nil
}

// request is a client's request.
type request struct {
	id, class, statement string
	deadline             time.Duration
	workMS               float64
}

func newRequest(class string, deadline time.Duration, workMS float64) request {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return request{
		id: id, class: class, deadline: deadline, workMS: workMS,
		statement: fmt.Sprintf("SELECT day, count(*), max(note) FROM sales_%d.orders WHERE tag = '%s' GROUP BY day",
			rand.IntN(20), id[:4]),
	}
}

// payload is the COM_QUERY of a request.
func (q request) payload() string {
	return fmt.Sprintf("\x03/* c=%s,i=%s,d=%d,t=south-grain,h=%.1f,need_mb=96 */ %s",
		q.class, q.id, q.deadline.Milliseconds(), q.workMS, q.statement)
}
