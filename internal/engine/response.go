package engine

import (
	"bytes"
	"errors"

	"beechcart/internal/decimal"
	"beechcart/internal/http1"
)

// Size limits of the responses of engines and of the change log.
const (
	maxHeadBytes      = 16 << 10
	maxBodyBytes      = 48 << 10 // of an engine's response; a page has at most 6,000 bytes, a whole result 48,000
	maxChangeLogBytes = 4 << 20  // of a response of the change log: some 27,000 engines in one list
)

// maxNumber bounds the numbers in a response: milliseconds of work, megabytes of memory, and fractions.
const maxNumber = 1e12

var (
	// errIncomplete reports that the buffer does not hold the whole response yet.
	errIncomplete = errors.New("http: incomplete response")
	errMalformed  = http1.ErrMalformed
	errTooLarge   = http1.ErrTooLarge
)

// isMalformed reports whether err is due to a malformed or oversized response.
func isMalformed(err error) bool { return errors.Is(err, errMalformed) || errors.Is(err, errTooLarge) }

// response is a parsed response. The slices of a response point into the read buffer.
type response struct {
	status        int
	body          []byte
	notRun        bool
	progressKind  []byte
	progressValue []byte
	loadReport    []byte
	pageCount     int // 0: absent
	pageNumber    int // -1: absent
	workMs        float64
	memoryMB      float64
	closes        bool   // the connection closes after this response
	hasLength     bool   // the body ends where Content-Length says
	surplus       []byte // the bytes behind the response that have arrived with it
}

// parseResponse parses one response with a body of at most maxBody bytes from the start of buf. parseResponse returns
// the number of bytes read, including interim responses (1xx) before the final one, or errIncomplete if buf does not
// hold the whole response. Chunks of a body are joined in place, which changes buf.
func parseResponse(buf []byte, maxBody int) (r response, n int, err error) {
	for {
		var size int
		if r, size, err = parseMessage(buf[n:], maxBody); err != nil {
			return r, 0, err
		}
		if n += size; r.status >= statusOK {
			return r, n, nil
		}
		if r.status == statusSwitchingProtocols || n > maxHeadBytes { // calls never ask for a protocol upgrade
			return r, 0, errMalformed
		}
	}
}

// parseMessage parses one response, interim or final. A response whose end cannot be determined is an error: if the end
// were misread, a client could get a result that no engine has sent.
func parseMessage(buf []byte, maxBody int) (r response, n int, err error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > maxHeadBytes {
			return r, 0, errTooLarge
		}
		return r, 0, errIncomplete
	}
	if end > maxHeadBytes {
		return r, 0, errTooLarge
	}
	r, framing, err := parseHead(buf[:end])
	if err != nil {
		return r, 0, err
	}
	n = end + len("\r\n\r\n")
	size, err := r.parseBody(buf[n:], framing, maxBody)
	if err != nil {
		return r, 0, err
	}
	return r, n + size, nil
}

// parseHead parses the status line and the headers. A repeated header of the engine API is an error.
func parseHead(head []byte) (r response, framing http1.Framing, err error) {
	r.pageNumber = -1
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	var http10 bool
	if r.status, http10, err = http1.ParseStatusLine(line); err != nil {
		return r, framing, err
	}
	framing = http1.NewFraming(http10)
	var seen headerSet
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, err := http1.ParseField(line)
		if err != nil {
			return r, framing, err
		}
		if isFraming, err := framing.ParseField(name, value); err != nil {
			return r, framing, err
		} else if isFraming {
			continue
		}
		header, err := r.parseHeader(name, value)
		if err != nil || seen&header != 0 {
			return r, framing, errMalformed
		}
		seen |= header
	}
	return r, framing, framing.Check()
}

// parseBody parses the body from the start of buf, and returns the number of bytes read.
func (r *response) parseBody(buf []byte, framing http1.Framing, maxBody int) (n int, err error) {
	length, chunked, err := framing.Body(r.status, maxBody)
	r.closes = framing.Closes()
	switch {
	case err != nil:
		return 0, err
	case chunked:
		r.body, n, err = joinChunks(buf, maxBody)
		return n, err
	case len(buf) < length:
		return 0, errIncomplete
	}
	r.body, r.hasLength = buf[:length], true
	return length, nil
}

// headerSet is a bit set of response headers of the engine API, used to detect repeated headers.
type headerSet int

const (
	notRunSeen headerSet = 1 << iota
	progressKindSeen
	progressValueSeen
	loadReportSeen
	pageCountSeen
	pageNumberSeen
	workSeen
	usedMemorySeen
)

// parseHeader parses a response header of the engine API, and returns the bit of the header. An unknown header is
// skipped, and the result is 0.
func (r *response) parseHeader(name, value []byte) (header headerSet, err error) {
	switch {
	case http1.EqualName(name, headerNotRun):
		r.notRun = string(value) == "1"
		return notRunSeen, nil
	case http1.EqualName(name, headerProgressKind):
		r.progressKind = value
		return progressKindSeen, nil
	case http1.EqualName(name, headerProgressValue):
		r.progressValue = value
		return progressValueSeen, nil
	case http1.EqualName(name, headerLoadReport):
		r.loadReport = value
		return loadReportSeen, nil
	case http1.EqualName(name, headerPageCount):
		r.pageCount, err = http1.ParseDigits(value)
		return pageCountSeen, err
	case http1.EqualName(name, headerPageNumber):
		r.pageNumber, err = http1.ParseDigits(value)
		return pageNumberSeen, err
	case http1.EqualName(name, headerWork):
		return workSeen, setNumber(&r.workMs, value)
	case http1.EqualName(name, headerUsedMemory):
		return usedMemorySeen, setNumber(&r.memoryMB, value)
	}
	return 0, nil
}

func setNumber(number *float64, text []byte) error {
	var ok bool
	if *number, ok = parseNumber(text); !ok {
		return errMalformed
	}
	return nil
}

// parseNumber parses a decimal number of at most maxNumber. The second result is false if text is malformed or the
// number is too large.
func parseNumber(text []byte) (float64, bool) {
	number, ok := decimal.Parse(text)
	return number, ok && number <= maxNumber
}
