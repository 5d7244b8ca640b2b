package mysql

import (
	"bytes"
	"strconv"
)

// stagingSchema is the prefix of the staging schemas, whose numbers are not table groups.
const stagingSchema = "staging"

// tableGroup returns the table group of a statement, or unknownIndex if the statement names none. The table group is
// the number after the last underscore of a schema name, such as 17 in sales_17.orders. Strings, comments and staging
// schemas are ignored. A schema after FROM, JOIN, INTO, UPDATE or TABLE takes precedence over a schema that only
// qualifies a column. Otherwise the first schema in the statement counts.
func tableGroup(q []byte) int {
	first := unknownIndex
	for i := 0; i < len(q); {
		switch c := q[i]; {
		case c == '\'' || c == '"':
			i = skipString(q, i)
		case isLineComment(q[i:]):
			i = skipPast(q, i, "\n")
		case bytes.HasPrefix(q[i:], []byte("/*")):
			i = skipPast(q, i+len("/*"), "*/")
		case c == '`' || isWordByte(c):
			schema, next := readSchema(q, i)
			if group := groupOf(schema); group >= 0 {
				if followsTableKeyword(q[:i]) {
					return group
				}
				if first < 0 {
					first = group
				}
			}
			i = next
		default:
			i++
		}
	}
	return first
}

func isLineComment(q []byte) bool {
	if q[0] == '#' {
		return true
	}
	return len(q) > 2 && q[0] == '-' && q[1] == '-' && (q[2] == ' ' || q[2] == '\t' || q[2] == '\n')
}

// skipPast returns the offset after the next occurrence of end at or after offset i, or len(q) if there is none.
func skipPast(q []byte, i int, end string) int {
	if n := bytes.Index(q[i:], []byte(end)); n >= 0 {
		return i + n + len(end)
	}
	return len(q)
}

// skipString returns the offset after the string literal that begins at offset i, or len(q) if the literal is not
// closed. A backslash or a second quote escapes a quote.
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

// readSchema reads the identifier at offset i. If a dot and a second identifier follow, readSchema returns the first
// identifier as the schema, and the offset after the second one. Otherwise it returns nil and the offset after the
// identifier.
func readSchema(q []byte, i int) (schema []byte, next int) {
	identifier, end := readIdentifier(q, i)
	dot := skipSpace(q, end)
	if dot >= len(q) || q[dot] != '.' {
		return nil, end
	}
	_, next = readIdentifier(q, skipSpace(q, dot+1))
	return identifier, next
}

// readIdentifier returns the quoted or unquoted identifier at offset i, and the offset after it.
func readIdentifier(q []byte, i int) (identifier []byte, next int) {
	if i < len(q) && q[i] == '`' {
		n := bytes.IndexByte(q[i+1:], '`')
		if n < 0 {
			return nil, len(q)
		}
		return q[i+1 : i+1+n], i + n + 2
	}
	end := i
	for end < len(q) && isWordByte(q[end]) {
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

func isWordByte(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

// followsTableKeyword reports whether q, the text before a name, ends with a keyword that precedes a table name.
func followsTableKeyword(q []byte) bool {
	q = bytes.TrimRight(q, " \t\r\n")
	start := len(q)
	for start > 0 && isWordByte(q[start-1]) {
		start--
	}
	for _, keyword := range []string{"FROM", "JOIN", "INTO", "UPDATE", "TABLE"} {
		if bytes.EqualFold(q[start:], []byte(keyword)) {
			return true
		}
	}
	return false
}

// groupOf returns the number after the last underscore of a schema name, or unknownIndex if the name has no such number
// or names a staging schema.
func groupOf(schema []byte) int {
	at := bytes.LastIndexByte(schema, '_')
	if at < 0 || bytes.EqualFold(schema[:at], []byte(stagingSchema)) {
		return unknownIndex
	}
	n, err := strconv.ParseUint(string(schema[at+1:]), 10, 31)
	if err != nil {
		return unknownIndex
	}
	return int(n)
}
