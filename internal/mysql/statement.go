package mysql

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode"

	"beechcart/internal/exchange"
	"beechcart/internal/platformconfig"
)

// unknownIndex is the index of a class, tenant or table group that a query does not name.
const unknownIndex = -1

var (
	errNoComment      = errors.New("the comment with the fields of the request is missing")
	errOpenComment    = errors.New("the comment with the fields of the request does not end")
	errNoID           = errors.New("field i is missing")
	errNoClass        = errors.New("field c is missing")
	errNoTimeout      = errors.New("field d is missing")
	errEmptyStatement = errors.New("there is no statement")
)

// parseQuery parses a query: a comment with the fields of the request, followed by a statement. The statement of the
// result is a slice of q, so q must not change.
func parseQuery(q []byte, names platformconfig.Names) (r exchange.Request, err error) {
	fields, statement, err := splitComment(q)
	if err != nil {
		return r, err
	}
	r.Class, r.Tenant, r.TableGroup = unknownIndex, unknownIndex, unknownIndex
	if err := parseFields(&r, fields, &names); err != nil {
		return r, err
	}
	switch {
	case r.ID == "":
		return r, errNoID
	case r.Class < 0:
		return r, errNoClass
	case r.Timeout <= 0:
		return r, errNoTimeout
	case len(bytes.TrimSpace(statement)) == 0:
		return r, errEmptyStatement
	}
	r.Statement = statement
	r.TableGroup = tableGroup(statement)
	return r, nil
}

// splitComment splits a query into the content of its leading comment and the statement. White space before the
// comment, and between the comment and the statement, belongs to neither. White space at the end belongs to the
// statement: in a load it may be an empty column.
func splitComment(q []byte) (fields, statement []byte, err error) {
	q = bytes.TrimLeftFunc(q, unicode.IsSpace)
	if !bytes.HasPrefix(q, []byte("/*")) {
		return nil, nil, errNoComment
	}
	end := bytes.Index(q, []byte("*/"))
	if end < 2 {
		return nil, nil, errOpenComment
	}
	return q[2:end], bytes.TrimLeft(q[end+2:], " \t\r\n"), nil
}

// parseFields parses fields such as c=report,d=1500 into a request. Unknown fields are ignored. A repeated field is an
// error, because the engine might use the other one of the two values.
func parseFields(r *exchange.Request, fields []byte, names *platformconfig.Names) error {
	var seen fieldSet
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte(","))
		name, value, ok := bytes.Cut(bytes.TrimSpace(field), []byte("="))
		if !ok {
			return fmt.Errorf("field %.40q is not name=value", field)
		}
		if err := seen.add(name); err != nil {
			return fmt.Errorf("field %.40q %w", name, err)
		}
		if !setField(r, name, value, names) {
			return fmt.Errorf("field %s: %.40q can't be used", name, value)
		}
	}
	return nil
}

// maxKillQueryBytes is the maximum size of a KILL QUERY statement. Longer statements are not parsed as one.
const maxKillQueryBytes = 64

// parseKillQuery returns the session id of a KILL QUERY statement. ok is false for any other statement.
func parseKillQuery(q []byte) (sessionID uint32, ok bool) {
	if len(q) > maxKillQueryBytes {
		return 0, false
	}
	words := bytes.Fields(bytes.TrimRight(q, "; \t\r\n"))
	if len(words) != 3 || !bytes.EqualFold(words[0], []byte("KILL")) || !bytes.EqualFold(words[1], []byte("QUERY")) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(words[2]), 10, 32)
	return uint32(n), err == nil
}
