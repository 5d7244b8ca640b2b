package http1

// absent is the Content-Length of a head without one.
const absent = -1

// Framing is what the head of a response says about the end of its body and of the connection (RFC 9112, section 6).
type Framing struct {
	length  int // absent: no Content-Length
	chunked bool
	closes  bool
}

// NewFraming returns the framing of a response whose version is 1.0 or not, before any field is read.
func NewFraming(http10 bool) Framing { return Framing{length: absent, closes: http10} }

// ParseField reads a field that belongs to the framing; known is false for any other field. A Content-Length or a
// Transfer-Encoding that comes twice is malformed: it contradicts itself, or would if it had been meant.
func (f *Framing) ParseField(name, value []byte) (known bool, err error) {
	switch {
	case EqualName(name, "Content-Length"):
		if f.length != absent {
			return true, ErrMalformed
		}
		f.length, err = ParseDigits(value)
		return true, err
	case EqualName(name, "Transfer-Encoding"):
		if f.chunked || !EqualName(value, "chunked") {
			return true, ErrMalformed
		}
		f.chunked = true
		return true, nil
	case EqualName(name, "Connection"):
		f.closes = f.closes || EqualName(value, "close")
		return true, nil
	}
	return false, nil
}

// Check reports a head with both a Content-Length and a Transfer-Encoding as malformed.
func (f *Framing) Check() error {
	if f.chunked && f.length != absent {
		return ErrMalformed
	}
	return nil
}

// Body returns the length of the body of a response with that status, or that it is chunked. A response other than an
// error must say where its body ends: a body up to the end of the connection might be cut short. An error without a
// length has no body, and ends the connection.
func (f *Framing) Body(status, maxBody int) (length int, chunked bool, err error) {
	switch {
	case status < statusOK || status == statusNoContent || status == statusNotModified:
		return 0, false, nil
	case f.chunked:
		return 0, true, nil
	case f.length == absent && status < statusMultipleChoices:
		return 0, false, ErrMalformed
	case f.length == absent:
		f.closes = true
		return 0, false, nil
	case f.length > maxBody:
		return 0, false, ErrTooLarge
	}
	return f.length, false, nil
}

// Closes reports whether the connection ends with the response.
func (f *Framing) Closes() bool { return f.closes }
