// Package http1 is what all clients of HTTP/1.1 here share: the rules by which a message is read (RFC 9112), and a
// connection for large answers, with or without TLS. The engines' own client, which reads small answers in place,
// is in internal/engine and goes by the same rules.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrMalformed tells an answer that can't be read, or that leaves open where it ends.
	ErrMalformed = errors.New("http: malformed response")
	// ErrTooLarge tells an answer over a bound.
	ErrTooLarge = errors.New("http: response too large")
)

// ParseStatusLine reads a status line, HTTP-version SP code SP reason, and tells whether the version is 1.0.
func ParseStatusLine(line []byte) (code int, old bool, err error) {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || (len(line) > 12 && line[12] != ' ') {
		return 0, false, ErrMalformed
	}
	if code, err = ParseDigits(line[9:12]); err != nil || code < 100 {
		return 0, false, ErrMalformed
	}
	return code, line[7] == '0', nil
}

// ParseField parts a line of the head into its name and its value. Both are slices of the line.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !IsToken(name) {
		return nil, nil, ErrMalformed
	}
	return name, bytes.TrimSpace(value), nil
}

// IsToken tells a name that a field may have: no blanks, no control characters.
func IsToken(name []byte) bool {
	for _, c := range name {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(name) > 0
}

// ParseDigits reads a whole number of digits only, of 39 bits at most.
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

// EqualName compares names without regard to case.
func EqualName(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

// ParseChunkSize reads the line that begins a chunk, without its line end. Extensions are passed over.
func ParseChunkSize(line []byte, most int) (int, error) {
	word, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(word)), 16, 32)
	if err != nil {
		return 0, ErrMalformed
	}
	if n > uint64(most) {
		return 0, ErrTooLarge
	}
	return int(n), nil
}
