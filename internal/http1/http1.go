// Package http1 parses HTTP/1.1 responses (RFC 9112) and provides a client connection for large responses, with or
// without TLS. internal/source/consul uses the connection. internal/engine uses only the parsing functions, and parses
// small responses in place.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrMalformed reports a response that cannot be parsed, or whose end cannot be determined.
	ErrMalformed = errors.New("http: malformed response")
	// ErrTooLarge reports a response that exceeds a size limit.
	ErrTooLarge = errors.New("http: response too large")
)

// Status codes that determine how a response is parsed.
const (
	statusSwitchingProtocols = 101
	statusOK                 = 200
	statusNoContent          = 204
	statusMultipleChoices    = 300
	statusNotModified        = 304
)

// statusLineSize is the length of a status line up to and including the status code.
const statusLineSize = len("HTTP/1.1 200")

// ParseStatusLine parses a status line (HTTP-version SP code SP reason). http10 reports whether the version is
// HTTP/1.0.
func ParseStatusLine(line []byte) (code int, http10 bool, err error) {
	if len(line) < statusLineSize || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' ||
		(len(line) > statusLineSize && line[statusLineSize] != ' ') {
		return 0, false, ErrMalformed
	}
	if code, err = ParseDigits(line[9:statusLineSize]); err != nil || code < 100 {
		return 0, false, ErrMalformed
	}
	return code, line[7] == '0', nil
}

// ParseField splits a header line into the name and the value of the field. Both results are slices of the line.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !IsToken(name) {
		return nil, nil, ErrMalformed
	}
	return name, bytes.TrimSpace(value), nil
}

// IsToken reports whether a name is not empty and contains only printable ASCII characters without spaces.
func IsToken(name []byte) bool {
	for _, c := range name {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(name) > 0
}

// ParseDigits parses an unsigned decimal integer without a sign, of at most 39 bits.
func ParseDigits(text []byte) (int, error) {
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, ErrMalformed
		}
	}
	n, err := strconv.ParseInt(string(text), 10, 40)
	if err != nil {
		return 0, ErrMalformed
	}
	return int(n), nil
}

// EqualName reports whether a field name, or a value such as "close", equals name without regard to case.
func EqualName(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

// ParseChunkSize parses the chunk-size line of a chunk, given without its CRLF. Extensions are ignored. A size above
// maxSize is ErrTooLarge.
func ParseChunkSize(line []byte, maxSize int) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 32)
	if err != nil {
		return 0, ErrMalformed
	}
	if n > uint64(maxSize) {
		return 0, ErrTooLarge
	}
	return int(n), nil
}
