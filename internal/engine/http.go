package engine

import (
	"bytes"
	"errors"

	"beechcart/internal/copycount"
	"beechcart/internal/decimal"
	"beechcart/internal/http1"
)

// The bounds of what an engine, or the change log, may send.
const (
	maxHead = 16 << 10
	maxBody = 256 << 10
	maxList = 4 << 20 // of the change log: some 27,000 engines in one list
)

var (
	errShort = errors.New("http: the message is not whole yet")
	errBad   = http1.ErrMalformed
	errLarge = http1.ErrTooLarge
)

// response is one parsed response. Its slices point into the buffer that it was read into.
type response struct {
	code   int
	body   []byte
	unrun  bool
	how    []byte
	num    []byte
	gauges []byte
	pages  int // X-Batches; 0: absent
	page   int // X-Batch; -1: absent
	spent  float64
	wanted float64
	close  bool // the connection ends with this response
}

// parse reads one response from the start of buf and tells how many bytes it took, interim ones (1xx) ahead of
// it included. It returns errShort while more has to come. Chunked bodies are joined in place, so buf is changed.
func parse(buf []byte) (r response, n int, err error) { return parseUpTo(buf, maxBody) }

// parseUpTo is parse for a body of so many bytes at most.
func parseUpTo(buf []byte, most int) (r response, n int, err error) {
	for {
		var took int
		if r, took, err = parseOne(buf[n:], most); err != nil {
			return r, 0, err
		}
		if n += took; r.code >= 200 {
			return r, n, nil
		}
		if r.code == 101 || n > maxHead { // nobody asked for another protocol
			return r, 0, errBad
		}
	}
}

// parseOne reads one response, interim or final. It guards against all that leaves open where a response ends,
// or whether it is one: what is misread here could go out as a result that no engine made.
func parseOne(buf []byte, most int) (r response, n int, err error) {
	r.page = -1
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > maxHead {
			return r, 0, errLarge
		}
		return r, 0, errShort
	}
	if end > maxHead {
		return r, 0, errLarge
	}
	line, head, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	if r.code, r.close, err = http1.ParseStatusLine(line); err != nil {
		return r, 0, err
	}
	length, chunked, seen := -1, false, fields(0)
	for len(head) > 0 {
		line, head, _ = bytes.Cut(head, []byte("\r\n"))
		name, value, err := http1.ParseField(line)
		if err != nil {
			return r, 0, err
		}
		var this fields
		switch {
		case http1.EqualName(name, "Content-Length"):
			this = fieldLength
			length, err = http1.ParseDigits(value)
		case http1.EqualName(name, "Transfer-Encoding"):
			this = fieldEncoding
			if chunked = http1.EqualName(value, "chunked"); !chunked {
				err = errBad
			}
		case http1.EqualName(name, "Connection"):
			r.close = r.close || http1.EqualName(value, "close")
		default:
			this, err = r.field(name, value)
		}
		// A field that comes twice contradicts itself, or would if it had been meant.
		if err != nil || seen&this != 0 {
			return r, 0, errBad
		}
		seen |= this
	}
	n = end + 4
	switch {
	case chunked && length >= 0:
		return r, 0, errBad
	case r.code < 200 || r.code == 204 || r.code == 304:
		return r, n, nil
	case chunked:
		var took int
		if r.body, took, err = dechunk(buf[n:], most); err != nil {
			return r, 0, err
		}
		return r, n + took, nil
	case length < 0 && r.code < 300:
		return r, 0, errBad // a body up to the end of the connection might be cut short
	case length < 0:
		r.close = true
		return r, n, nil
	case length > most:
		return r, 0, errLarge
	case len(buf) < n+length:
		return r, 0, errShort
	}
	r.body = buf[n : n+length]
	return r, n + length, nil
}

// fields is a set of header fields, to tell one that comes again.
type fields int

const (
	fieldLength fields = 1 << iota
	fieldEncoding
	fieldUnrun
	fieldHow
	fieldNum
	fieldGauges
	fieldBatches
	fieldBatch
	fieldSpent
	fieldWanted
)

// field reads one of the engines' own fields, and tells which; an error when its value can't be one.
func (r *response) field(name, value []byte) (fields, error) {
	var err error
	switch {
	case http1.EqualName(name, "X-Unrun"):
		r.unrun = string(value) == "1"
		return fieldUnrun, nil
	case http1.EqualName(name, "X-How"):
		r.how = value
		return fieldHow, nil
	case http1.EqualName(name, "X-Num"):
		r.num = value
		return fieldNum, nil
	case http1.EqualName(name, "X-Gauges"):
		r.gauges = value
		return fieldGauges, nil
	case http1.EqualName(name, "X-Batches"):
		r.pages, err = http1.ParseDigits(value)
		return fieldBatches, err
	case http1.EqualName(name, "X-Batch"):
		r.page, err = http1.ParseDigits(value)
		return fieldBatch, err
	case http1.EqualName(name, "X-Spent"):
		var ok bool
		if r.spent, ok = number(value); !ok {
			err = errBad
		}
		return fieldSpent, err
	case http1.EqualName(name, "X-Wanted"):
		var ok bool
		if r.wanted, ok = number(value); !ok {
			err = errBad
		}
		return fieldWanted, err
	}
	return 0, nil
}

// mostFigure bounds the figures that engines tell: milliseconds of work, megabytes, shares.
const mostFigure = 1e12

// number reads a figure of a size that anything here may have.
func number(text []byte) (float64, bool) {
	f, ok := decimal.Parse(text)
	return f, ok && f <= mostFigure
}

// dechunk joins the chunks at the start of buf in place, once all are there: a message that is read again when
// more of it has come must not be changed before.
func dechunk(buf []byte, most int) (body []byte, n int, err error) {
	for at := 0; ; {
		size, from, err := chunk(buf[at:], most)
		if err != nil {
			return nil, 0, err
		}
		if at += from + size + 2; at > most {
			return nil, 0, errLarge
		}
		if size == 0 {
			break
		}
	}
	w := 0
	for {
		size, from, err := chunk(buf[n:], most)
		if err != nil {
			return nil, 0, err
		}
		copy(buf[w:], buf[n+from:n+from+size])
		copycount.Add(copycount.Chunks, size)
		w, n = w+size, n+from+size+2
		if size == 0 {
			return buf[:w], n, nil
		}
	}
}

// chunk tells the size of the chunk at the start of buf, and where its content begins.
func chunk(buf []byte, most int) (size, from int, err error) {
	eol := bytes.Index(buf, []byte("\r\n"))
	if eol < 0 {
		if len(buf) > 64 {
			return 0, 0, errBad
		}
		return 0, 0, errShort
	}
	if size, err = http1.ParseChunkSize(buf[:eol], most); err != nil {
		return 0, 0, err
	}
	from = eol + 2
	if len(buf) < from+size+2 {
		return 0, 0, errShort
	}
	if buf[from+size] != '\r' || buf[from+size+1] != '\n' {
		return 0, 0, errBad // trailers are not used here
	}
	return size, from, nil
}
