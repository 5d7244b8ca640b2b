package mysql

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"beechcart/internal/copycount"
	"beechcart/internal/decimal"
	"beechcart/internal/exchange"
	"beechcart/internal/platformconfig"
)

// parseQuery reads the comment of fields ahead of a statement. What it returns owns its memory: a request
// outlives the buffer that it came in.
func parseQuery(q []byte, names platformconfig.Names) (r exchange.Request, err error) {
	q = bytes.TrimSpace(q)
	if !bytes.HasPrefix(q, []byte("/*")) {
		return r, errors.New("the comment with the fields of the request is missing")
	}
	end := bytes.Index(q, []byte("*/"))
	if end < 2 {
		return r, errors.New("the comment with the fields of the request does not end")
	}
	fields, text := q[2:end], bytes.TrimLeft(q[end+2:], " \t\r\n")
	r.Class, r.Tenant, r.TableGroup = -1, -1, -1
	var seen seenFields
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte(","))
		name, value, ok := bytes.Cut(bytes.TrimSpace(field), []byte("="))
		if !ok {
			return r, fmt.Errorf("field %.40q is not name=value", field)
		}
		// A field that comes twice may mean one thing here and another at the engine.
		if !seen.add(name) {
			return r, fmt.Errorf("field %.40q comes twice", name)
		}
		if err := setField(&r, name, value, names); err != nil {
			return r, err
		}
	}
	switch {
	case r.ID == "":
		return r, errors.New("field i is missing")
	case r.Class < 0:
		return r, errors.New("field c is missing")
	case r.Timeout <= 0:
		return r, errors.New("field d is missing")
	case len(text) == 0:
		return r, errors.New("there is no statement")
	}
	r.Statement = bytes.Clone(text)
	copycount.Add(copycount.Statement, len(text))
	r.TableGroup = tableGroup(text)
	return r, nil
}

// seenFields are the names that a comment has brought: those that are known as bits, the rest as they come.
type seenFields struct {
	known uint8
	more  map[string]bool
}

var fieldNames = [...]string{"c", "i", "d", "t", "h", "need_mb", "r"}

// add enters a name; false when it was there.
func (s *seenFields) add(name []byte) bool {
	for i, n := range fieldNames {
		if string(name) == n {
			bit := uint8(1) << i
			fresh := s.known&bit == 0
			s.known |= bit
			return fresh
		}
	}
	if s.more[string(name)] {
		return false
	}
	if s.more == nil {
		s.more = map[string]bool{}
	}
	s.more[string(name)] = true
	return true
}

// parseKill reads KILL QUERY with the id of a session; ok is false for any other statement.
func parseKill(q []byte) (id uint32, ok bool) {
	const most = 64 // it is short
	if len(q) > most {
		return 0, false
	}
	words := bytes.Fields(bytes.TrimRight(q, "; \t\r\n"))
	if len(words) != 3 || !bytes.EqualFold(words[0], []byte("KILL")) || !bytes.EqualFold(words[1], []byte("QUERY")) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(words[2]), 10, 32)
	return uint32(n), err == nil
}

// The bounds of the figures that a request may carry.
const (
	mostWaitMs   = 3600 * 1000
	mostEstimate = 1e9 // milliseconds of work, megabytes
)

// setField takes one field. Each is checked here, before any is passed on: an engine must not see what it can't
// use, nor the controller a figure that is none.
func setField(r *exchange.Request, name, value []byte, names platformconfig.Names) error {
	bad := func() error { return fmt.Errorf("field %s: %.40q can't be used", name, value) }
	number := func(most float64) (float64, bool) {
		f, ok := decimal.Parse(value)
		return f, ok && f <= most
	}
	switch string(name) {
	case "c":
		var ok bool
		if r.Class, ok = names.Classes[string(value)]; !ok {
			r.Class = -1
			return bad()
		}
		r.ClassName = names.ClassName(r.Class, value)
	case "i":
		if len(value) != 16 {
			return bad()
		}
		for _, c := range value {
			if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
				return bad()
			}
		}
		r.ID = string(value)
	case "d":
		f, ok := number(mostWaitMs)
		if !ok || f == 0 {
			return bad()
		}
		r.Timeout = time.Duration(f * float64(time.Millisecond))
	case "t":
		// A tenant that does not exist has no share: its request is refused as malformed, not served as another's.
		var ok bool
		if r.Tenant, ok = names.Tenants[string(value)]; !ok {
			if r.Tenant = -1; len(names.Tenants) > 0 {
				return bad()
			}
		}
	case "h":
		f, ok := number(mostEstimate)
		if !ok {
			return bad()
		}
		r.WorkEstimate = time.Duration(f * float64(time.Millisecond))
	case "need_mb":
		f, ok := number(mostEstimate)
		if !ok {
			return bad()
		}
		r.MemoryMB = f
	case "r":
		if string(value) != "1" {
			return bad()
		}
		r.Retry = true
	}
	return nil // what is not known is passed over
}

// tableGroup finds the number behind the underscore in the schema that a statement reads or writes; -1 when it
// names none. Strings, comments and the schema staging do not count. A schema behind FROM, JOIN, INTO, UPDATE
// or TABLE comes before one that only qualifies a column.
func tableGroup(q []byte) int {
	first := -1
	for i := 0; i < len(q); {
		switch c := q[i]; {
		case c == '\'' || c == '"':
			i = skipString(q, i)
		case c == '#' || (c == '-' && i+2 < len(q) && q[i+1] == '-' && (q[i+2] == ' ' || q[i+2] == '\t' || q[i+2] == '\n')):
			if n := bytes.IndexByte(q[i:], '\n'); n >= 0 {
				i += n + 1
			} else {
				i = len(q)
			}
		case c == '/' && i+1 < len(q) && q[i+1] == '*':
			if n := bytes.Index(q[i+2:], []byte("*/")); n >= 0 {
				i += n + 4
			} else {
				i = len(q)
			}
		case c == '`' || isWord(c):
			word, end := name(q, i)
			next := skipSpace(q, end)
			if next >= len(q) || q[next] != '.' {
				i = end
				continue
			}
			if n := groupOf(word); n >= 0 {
				if behindKeyword(q[:i]) {
					return n
				}
				if first < 0 {
					first = n
				}
			}
			_, i = name(q, skipSpace(q, next+1)) // the table's own name is no schema
		default:
			i++
		}
	}
	return first
}

func skipString(q []byte, i int) int {
	for quote, j := q[i], i+1; j < len(q); j++ {
		switch {
		case q[j] == '\\':
			j++
		case q[j] == quote && j+1 < len(q) && q[j+1] == quote:
			j++
		case q[j] == quote:
			return j + 1
		}
	}
	return len(q)
}

// name reads an identifier, quoted or not, and tells where it ends.
func name(q []byte, i int) ([]byte, int) {
	if i < len(q) && q[i] == '`' {
		n := bytes.IndexByte(q[i+1:], '`')
		if n < 0 {
			return nil, len(q)
		}
		return q[i+1 : i+1+n], i + n + 2
	}
	end := i
	for end < len(q) && isWord(q[end]) {
		end++
	}
	return q[i:end], end
}

func skipSpace(q []byte, i int) int {
	for i < len(q) && (q[i] == ' ' || q[i] == '\t' || q[i] == '\r' || q[i] == '\n') {
		i++
	}
	return i
}

func isWord(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

func behindKeyword(q []byte) bool {
	q = bytes.TrimRight(q, " \t\r\n")
	start := len(q)
	for start > 0 && isWord(q[start-1]) {
		start--
	}
	for _, k := range []string{"FROM", "JOIN", "INTO", "UPDATE", "TABLE"} {
		if bytes.EqualFold(q[start:], []byte(k)) {
			return true
		}
	}
	return false
}

// groupOf is the number at the end of a schema's name; -1 when it has none, or is staging.
func groupOf(schema []byte) int {
	at := bytes.LastIndexByte(schema, '_')
	if at < 0 || bytes.EqualFold(schema[:at], []byte("staging")) {
		return -1
	}
	n, err := strconv.ParseUint(string(schema[at+1:]), 10, 31)
	if err != nil {
		return -1
	}
	return int(n)
}
