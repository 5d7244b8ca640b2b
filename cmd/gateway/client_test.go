package main_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// client is the client side of a MySQL session.
type client struct {
	t  *testing.T
	c  net.Conn
	r  *bufio.Reader
	id uint32
}

type answer struct {
	rows []string
	code int
	text string
}

const loginPayload = "\x08\x82\x08\x00" + "\x00\x00\x00\x01" + "\x2d" + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" + "app\x00" + "\x00" + "bi\x00" + "mysql_native_password\x00"

func packet(seq byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}) + payload
}

func (r *testGateway) connect() *client {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	require.NoError(r.t, c.SetDeadline(time.Now().Add(30*time.Second)))
	return &client{t: r.t, c: c, r: bufio.NewReader(c)}
}

// dial opens a session and logs in.
func (r *testGateway) dial() *client {
	c := r.connect()
	c.send(1, loginPayload)
	c.completeLogin()
	return c
}

func (c *client) completeLogin() {
	p, err := c.packet()
	require.NoError(c.t, err)
	_, rest, _ := bytes.Cut(p, []byte{0})
	c.id = binary.LittleEndian.Uint32(rest)
	require.Zero(c.t, c.read().code, "login")
}

func (c *client) send(seq byte, payload string) {
	_, err := io.WriteString(c.c, packet(seq, payload))
	require.NoError(c.t, err)
}

func (c *client) packet() ([]byte, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return nil, err
	}
	p := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(c.r, p)
	return p, err
}

// read reads one whole answer. The code is -1 if the connection ends first.
func (c *client) read() answer {
	var a answer
	for eofs := 0; eofs < 2; {
		p, err := c.packet()
		switch {
		case err != nil:
			return answer{code: -1, text: err.Error(), rows: a.rows}
		case p[0] == 0xff:
			return answer{code: int(binary.LittleEndian.Uint16(p[1:])), text: string(p[9:]), rows: a.rows}
		case p[0] == 0 && eofs == 0:
			return a // OK
		case p[0] == 0xfe && len(p) < 9:
			eofs++
		case eofs == 1:
			var cells []string
			for len(p) > 0 {
				n := int(p[0])
				cells, p = append(cells, string(p[1:1+n])), p[1+n:]
			}
			a.rows = append(a.rows, strings.Join(cells, "\t"))
		}
	}
	return a
}

// statement returns a COM_QUERY payload with a query of a class, whose client waits for deadlineMS milliseconds.
func statement(class string, deadlineMS int) string {
	return fmt.Sprintf("\x03/* c=%s,i=%016x,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_17.orders",
		class, rand.Uint64(), deadlineMS)
}

func (c *client) query(class string, deadlineMS int) answer {
	c.send(0, statement(class, deadlineMS))
	return c.read()
}
