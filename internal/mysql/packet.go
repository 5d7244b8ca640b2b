package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"

	"beechcart/internal/exchange"
)

// Capabilities, commands and error codes of the MySQL client/server protocol.
const (
	capLongPassword   = 1 << 0
	capConnectWithDB  = 1 << 3
	capProtocol41     = 1 << 9
	capSSL            = 1 << 11
	capTransactions   = 1 << 13
	capSecureConn     = 1 << 15
	capPluginAuth     = 1 << 19
	capPluginAuthData = 1 << 21
	capabilities      = capLongPassword | capConnectWithDB | capProtocol41 | capTransactions | capSecureConn | capPluginAuth

	comQuit   = 0x01
	comInitDB = 0x02
	comQuery  = 0x03
	comPing   = 0x0e

	charset    = 45 // utf8mb4_general_ci
	autocommit = 0x0002

	codeRefused       = 1040 // a repeat is harmless
	codeDenied        = 1045
	codeUnknownDB     = 1049
	codeUnknownCom    = 1047
	codeParse         = 1064
	codeUnknownThread = 1094
	codeFailed        = 1105
	codeTooLarge      = 1153
	codeBadHandshake  = 1043
	codeInterrupted   = 1317

	plugin = "mysql_native_password"

	user     = "app"
	database = "bi"
)

var errShort = errors.New("mysql: packet too short")

// appendPacket appends a packet with its header; build appends the payload.
func appendPacket(b []byte, seq *byte, build func([]byte) []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, *seq)
	*seq++
	b = build(b)
	n := len(b) - at - 4
	b[at], b[at+1], b[at+2] = byte(n), byte(n>>8), byte(n>>16)
	return b
}

func appendLenEnc(b []byte, n int) []byte {
	switch {
	case n < 251:
		return append(b, byte(n))
	case n < 1<<16:
		return append(b, 0xfc, byte(n), byte(n>>8))
	case n < 1<<24:
		return append(b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0xfe), uint64(n))
}

func appendString(b []byte, s string) []byte { return append(appendLenEnc(b, len(s)), s...) }

func appendOK(b []byte, seq *byte) []byte {
	return appendPacket(b, seq, func(b []byte) []byte {
		return append(b, 0, 0, 0, autocommit, 0, 0, 0)
	})
}

func appendEOF(b []byte, seq *byte) []byte {
	return appendPacket(b, seq, func(b []byte) []byte { return append(b, 0xfe, 0, 0, autocommit, 0) })
}

func appendError(b []byte, seq *byte, code int, state, message string) []byte {
	return appendPacket(b, seq, func(b []byte) []byte {
		b = append(b, 0xff, byte(code), byte(code>>8), '#')
		return append(append(b, state...), message...)
	})
}

// appendGreeting appends the server's first packet. The password is empty, so the scramble guards nothing.
func appendGreeting(b []byte, id uint32) []byte {
	seq := byte(0)
	return appendPacket(b, &seq, func(b []byte) []byte {
		b = append(append(append(b, 10), "8.0.0-beechcart"...), 0)
		b = binary.LittleEndian.AppendUint32(b, id)
		b = append(b, "beechcar"...) // first part of the scramble
		b = append(b, 0, byte(capabilities&0xff), byte(capabilities>>8&0xff), charset, autocommit, 0)
		b = append(b, byte(capabilities>>16&0xff), byte(capabilities>>24), 21)
		b = append(b, make([]byte, 10)...)
		b = append(append(b, "tbeechcartbe"...), 0)
		return append(append(b, plugin...), 0)
	})
}

// login is what a client says of itself.
type login struct {
	caps     uint32
	user, db []byte
	auth     []byte
}

// parseLogin reads a HandshakeResponse41. The slices point into p.
func parseLogin(p []byte) (l login, err error) {
	if len(p) < 4 {
		return l, errShort
	}
	if l.caps = binary.LittleEndian.Uint32(p); l.caps&capProtocol41 == 0 {
		return l, errors.New("mysql: protocol 4.1 is needed")
	}
	if l.caps&capSSL != 0 {
		return l, errors.New("mysql: encryption is not offered")
	}
	if len(p) < 32 {
		return l, errShort
	}
	var ok bool
	if l.user, p, ok = bytes.Cut(p[32:], []byte{0}); !ok {
		return l, errShort
	}
	switch {
	case l.caps&(capPluginAuthData|capSecureConn) != 0:
		if len(p) < 1 || p[0] >= 251 || len(p) < 1+int(p[0]) {
			return l, errShort
		}
		l.auth, p = p[1:1+int(p[0])], p[1+int(p[0]):]
	default:
		if l.auth, p, ok = bytes.Cut(p, []byte{0}); !ok {
			return l, errShort
		}
	}
	if l.caps&capConnectWithDB != 0 {
		// Some clients leave the last NUL out.
		l.db, _, _ = bytes.Cut(p, []byte{0})
	}
	return l, nil
}

// columns is how many text columns every result has.
const columns = exchange.ColumnCount

// prologue is what comes ahead of the rows of every result: the number of columns, their definitions and EOF. Its
// packets are numbered from 1, as those of every answer to a command are.
var prologue, afterPrologue = func() ([]byte, byte) {
	seq := byte(1)
	b := appendPacket(nil, &seq, func(b []byte) []byte { return append(b, columns) })
	for i := range columns {
		b = appendPacket(b, &seq, func(b []byte) []byte {
			name := string(rune('a' + i))
			b = appendString(b, "def")
			b = appendString(b, database)
			b = appendString(b, "")
			b = appendString(b, "")
			b = appendString(b, name)
			b = appendString(b, name)
			b = append(b, 0x0c, charset, 0)
			b = binary.LittleEndian.AppendUint32(b, 1<<16-1)
			return append(b, 0xfd, 0, 0, 0, 0, 0) // VAR_STRING
		})
	}
	return appendEOF(b, &seq), seq
}()

// eofSize is the size of an EOF packet.
const eofSize = 4 + 5

// resultSize is the size of a whole result set; false where rows are not whole rows (exchange.CheckRows).
func resultSize(rows []byte) (int, bool) {
	size := len(prologue) + eofSize
	for len(rows) > 0 {
		end := bytes.IndexByte(rows, '\n')
		if end < 0 {
			return 0, false
		}
		row := rows[:end]
		rows = rows[end+1:]
		size += 4
		for i := range columns {
			cell := bytes.IndexByte(row, '\t')
			if last := i == columns-1; last != (cell < 0) {
				return 0, false
			}
			if cell < 0 {
				cell = len(row)
			}
			size += lenEncSize(cell) + cell
			row = row[min(cell+1, len(row)):]
		}
	}
	return size, true
}

func lenEncSize(n int) int {
	switch {
	case n < 251:
		return 1
	case n < 1<<16:
		return 3
	case n < 1<<24:
		return 4
	}
	return 9
}

// appendResult appends a whole result set, of rows that resultSize has measured. This is the copy of the rows that every
// result takes: their cells get lengths in front, so they can't go out as they came.
func appendResult(b []byte, seq *byte, rows []byte) []byte {
	b = append(b, prologue...)
	*seq = afterPrologue
	for len(rows) > 0 {
		end := bytes.IndexByte(rows, '\n')
		row := rows[:end]
		rows = rows[end+1:]
		at := len(b)
		b = append(b, 0, 0, 0, *seq)
		*seq++
		for i := range columns {
			cell := len(row)
			if i < columns-1 {
				cell = bytes.IndexByte(row, '\t')
			}
			b = append(appendLenEnc(b, cell), row[:cell]...)
			row = row[min(cell+1, len(row)):]
		}
		n := len(b) - at - 4
		b[at], b[at+1], b[at+2] = byte(n), byte(n>>8), byte(n>>16)
	}
	return appendEOF(b, seq)
}
