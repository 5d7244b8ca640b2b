package http1

// absent is the length of a response without a Content-Length.
const absent = -1

// Framing holds the header fields that determine the length of a response's body, and whether the connection closes
// after the response (RFC 9112, section 6).
type Framing struct {
	length  int // absent: no Content-Length
	chunked bool
	closes  bool
}

// NewFraming returns the framing of a response before any header field is read. http10 reports whether the response's
// version is HTTP/1.0.
func NewFraming(http10 bool) Framing { return Framing{length: absent, closes: http10} }

// ParseField parses a header field. isFraming is false for a field that is not part of the framing, and the field is
// then ignored. The framing must be unambiguous, so a repeated Content-Length or Transfer-Encoding is malformed, even
// if both values are equal.
func (f *Framing) ParseField(name, value []byte) (isFraming bool, err error) {
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

// Check returns ErrMalformed for a response with both a Content-Length and a Transfer-Encoding.
func (f *Framing) Check() error {
	if f.chunked && f.length != absent {
		return ErrMalformed
	}
	return nil
}

// Body returns the length of the body of a response with the given status, or chunked if the body is chunked. A
// response with a status below 300 must have a length or chunks: a body that ends with the connection cannot be told
// from a truncated one. A response with a status of 300 or above and neither of them is taken as empty, and closes the
// connection.
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

// Closes reports whether the connection closes after the response.
func (f *Framing) Closes() bool { return f.closes }
