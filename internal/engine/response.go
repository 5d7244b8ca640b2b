package engine

import (
	"bytes"
	"errors"

	"beechcart/internal/decimal"
	"beechcart/internal/http1"
)

// Limits of what an engine, or the change log, may send.
const (
	maxHeadBytes      = 16 << 10
	maxBodyBytes      = 256 << 10 // of an engine's response
	maxChangeLogBytes = 4 << 20   // of the change log's body: some 27,000 engines in one list
)

// maxNumber bounds the numbers of a response: milliseconds of work, megabytes, shares.
const maxNumber = 1e12

var (
	// errIncomplete reports that more of a response has to be read.
	errIncomplete = errors.New("http: the message is not whole yet")
	errMalformed  = http1.ErrMalformed
	errTooLarge   = http1.ErrTooLarge
)

// isMalformed reports an error of a response that was received and can't be used.
func isMalformed(err error) bool { return errors.Is(err, errMalformed) || errors.Is(err, errTooLarge) }

// response is a parsed response. Its slices point into the buffer that it was read into.
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
	closes        bool // the connection ends with this response
}

// parseResponse reads one response with a body of at most maxBody bytes from the start of buf. It returns the number
// of bytes read, those of interim responses (1xx) ahead of it included, or errIncomplete where more has to be read.
// The chunks of a body are joined in place, so buf is changed.
func parseResponse(buf []byte, maxBody int) (r response, n int, err error) {
	for {
		var size int
		if r, size, err = parseMessage(buf[n:], maxBody); err != nil {
			return r, 0, err
		}
		if n += size; r.status >= statusOK {
			return r, n, nil
		}
		if r.status == statusSwitchingProtocols || n > maxHeadBytes { // no call asks for another protocol
			return r, 0, errMalformed
		}
	}
}

// parseMessage reads one response, interim or final. Whatever leaves open where a response ends is an error: a
// misread response could reach a client as a result that no engine has sent.
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

// parseHead reads a status line and the headers. An engine's own header that comes twice is an error.
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
		if known, err := framing.ParseField(name, value); err != nil {
			return r, framing, err
		} else if known {
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

// parseBody reads the body from the start of buf, and returns the number of bytes read.
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
	r.body = buf[:length]
	return length, nil
}

// headerSet is a set of the engines' own headers, which must not come twice.
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

// parseHeader reads one of the engines' own headers, and returns it as a set; empty for an unknown one, which is
// skipped.
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

// parseNumber reads a number of at most maxNumber.
func parseNumber(text []byte) (float64, bool) {
	number, ok := decimal.Parse(text)
	return number, ok && number <= maxNumber
}
