package mysql

import (
	"bytes"
	"errors"
	"time"

	"beechcart/internal/decimal"
	"beechcart/internal/exchange"
	"beechcart/internal/platformconfig"
)

// Names of the fields of a request. The platform defines them.
const (
	fieldClass        = "c"
	fieldID           = "i"
	fieldTimeout      = "d" // milliseconds
	fieldTenant       = "t"
	fieldWorkEstimate = "h" // milliseconds
	fieldMemory       = "need_mb"
	fieldRetry        = "r"
)

var fieldNames = [...]string{
	fieldClass, fieldID, fieldTimeout, fieldTenant, fieldWorkEstimate, fieldMemory, fieldRetry,
}

// Upper bounds of the numeric fields of a request.
const (
	maxTimeoutMs = 3600 * 1000
	maxEstimate  = 1e9 // milliseconds of work, or megabytes
)

// idSize is the number of hexadecimal digits in the id of a request.
const idSize = 16

// maxUnknownFields is the maximum number of fields in a comment that this version does not know.
const maxUnknownFields = 32

// fieldSet is the set of field names found in a comment so far.
type fieldSet struct {
	known   uint8    // one bit for each of fieldNames
	unknown [][]byte // slices of the comment
}

var (
	errRepeatedField = errors.New("comes twice")
	errTooManyFields = errors.New("is one too many: the comment has too many unknown fields")
)

// add adds a name. It returns an error if the set already contains the name, or has too many names.
func (s *fieldSet) add(name []byte) error {
	for i, n := range fieldNames {
		if string(name) == n {
			bit := uint8(1) << i
			if s.known&bit != 0 {
				return errRepeatedField
			}
			s.known |= bit
			return nil
		}
	}
	for _, n := range s.unknown {
		if bytes.Equal(n, name) {
			return errRepeatedField
		}
	}
	if len(s.unknown) == maxUnknownFields {
		return errTooManyFields
	}
	s.unknown = append(s.unknown, name)
	return nil
}

// setField sets one field of a request. It returns false if the value is invalid. Values are checked here, before the
// request is passed on, because neither an engine nor the controller may receive a value out of bounds. Unknown fields
// are ignored.
func setField(r *exchange.Request, name, value []byte, names *platformconfig.Names) (ok bool) {
	switch string(name) {
	case fieldClass:
		return setClass(r, value, names)
	case fieldID:
		return setID(r, value)
	case fieldTimeout:
		return setTimeout(r, value)
	case fieldTenant:
		return setTenant(r, value, names)
	case fieldWorkEstimate:
		return setWorkEstimate(r, value)
	case fieldMemory:
		r.MemoryMB, ok = parseNumber(value, maxEstimate)
		return ok
	case fieldRetry:
		r.Retry = string(value) == "1"
		return r.Retry
	}
	return true
}

func setClass(r *exchange.Request, value []byte, names *platformconfig.Names) bool {
	class, ok := names.Classes[string(value)]
	if !ok {
		return false
	}
	r.Class, r.ClassName = class, names.ClassName(class, value)
	return true
}

func setID(r *exchange.Request, value []byte) bool {
	if len(value) != idSize {
		return false
	}
	for _, c := range value {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	r.ID = string(value)
	return true
}

// setTenant sets the tenant. It returns false for an unknown tenant, which has no quota, unless no tenants are
// configured.
func setTenant(r *exchange.Request, value []byte, names *platformconfig.Names) bool {
	if tenant, ok := names.Tenants[string(value)]; ok {
		r.Tenant = tenant
		return true
	}
	r.Tenant = unknownIndex
	return len(names.Tenants) == 0
}

func setTimeout(r *exchange.Request, value []byte) bool {
	ms, ok := parseNumber(value, maxTimeoutMs)
	if !ok || ms == 0 {
		return false
	}
	r.Timeout = milliseconds(ms)
	return true
}

func setWorkEstimate(r *exchange.Request, value []byte) bool {
	ms, ok := parseNumber(value, maxEstimate)
	if !ok {
		return false
	}
	r.WorkEstimate = milliseconds(ms)
	return true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func parseNumber(value []byte, limit float64) (float64, bool) {
	n, ok := decimal.Parse(value)
	return n, ok && n <= limit
}
