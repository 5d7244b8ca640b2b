// Package http1 holds the rules by which all HTTP clients of this program read a response (RFC 9112), and a client
// connection for large responses, with or without TLS. internal/engine reads small responses in place, by the same
// rules.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrMalformed reports a response that can't be read, or that leaves open where it ends.
	ErrMalformed = errors.New("http: malformed response")
	// ErrTooLarge reports a response that exceeds a limit.
	ErrTooLarge = errors.New("http: response too large")
)

// Status codes that decide how a response is read.
const (
	statusSwitchingProtocols = 101
	statusOK                 = 200
	statusNoContent          = 204
	statusMultipleChoices    = 300
	statusNotModified        = 304
)

// statusLineSize is the size of a status line up to its status code.
const statusLineSize = len("HTTP/1.1 200")

// ParseStatusLine reads a status line, HTTP-version SP code SP reason, and reports whether the version is 1.0.
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

// ParseField splits a line of the head into the name and the value of its field. Both are slices of the line.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !IsToken(name) {
		return nil, nil, ErrMalformed
	}
	return name, bytes.TrimSpace(value), nil
}

// IsToken reports whether a name has neither blanks nor control characters, and is not empty.
func IsToken(name []byte) bool {
	for _, c := range name {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(name) > 0
}

// ParseDigits reads an integer of digits only, of at most 39 bits.
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

// EqualName compares the name of a field, or a value such as "close", without regard to case.
func EqualName(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

// ParseChunkSize reads the line that begins a chunk, without its line end. Extensions are ignored.
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
