package engine

import (
	"bytes"
	"errors"
	"strconv"
)

// The bounds of what an engine, or the change log, may send.
const (
	maxHead = 16 << 10
	maxBody = 256 << 10
)

var (
	errShort = errors.New("http: the message is not whole yet")
	errBad   = errors.New("http: malformed response")
	errLarge = errors.New("http: response too large")
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

// parse reads one response from the start of buf and tells how many bytes it took. It returns errShort while
// more has to come. Chunked bodies are joined in place, so buf is changed.
func parse(buf []byte) (r response, n int, err error) {
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
	// HTTP/1.1 SP code SP reason
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return r, 0, errBad
	}
	if r.code, err = strconv.Atoi(string(line[9:12])); err != nil || r.code < 100 {
		return r, 0, errBad
	}
	r.close = line[7] == '0'
	length, chunked := 0, false
	for len(head) > 0 {
		line, head, _ = bytes.Cut(head, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return r, 0, errBad
		}
		value = bytes.TrimSpace(value)
		switch {
		case is(name, "Content-Length"):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return r, 0, errBad
			}
		case is(name, "Transfer-Encoding"):
			chunked = is(value, "chunked")
		case is(name, "Connection"):
			r.close = is(value, "close")
		default:
			if !r.field(name, value) {
				return r, 0, errBad
			}
		}
	}
	n = end + 4
	if r.code == 204 || r.code == 304 || r.code < 200 {
		return r, n, nil
	}
	if chunked {
		var took int
		if r.body, took, err = dechunk(buf[n:]); err != nil {
			return r, 0, err
		}
		return r, n + took, nil
	}
	if length > maxBody {
		return r, 0, errLarge
	}
	if len(buf) < n+length {
		return r, 0, errShort
	}
	r.body = buf[n : n+length]
	return r, n + length, nil
}

// field reads one of the engines' own fields; false when its value can't be one.
func (r *response) field(name, value []byte) bool {
	var err error
	switch {
	case is(name, "X-Unrun"):
		r.unrun = string(value) == "1"
	case is(name, "X-How"):
		r.how = value
	case is(name, "X-Num"):
		r.num = value
	case is(name, "X-Gauges"):
		r.gauges = value
	case is(name, "X-Batches"):
		r.pages, err = strconv.Atoi(string(value))
	case is(name, "X-Batch"):
		r.page, err = strconv.Atoi(string(value))
	case is(name, "X-Spent"):
		r.spent, err = strconv.ParseFloat(string(value), 64)
	case is(name, "X-Wanted"):
		r.wanted, err = strconv.ParseFloat(string(value), 64)
	}
	return err == nil
}

func is(b []byte, name string) bool { return len(b) == len(name) && bytes.EqualFold(b, []byte(name)) }

// dechunk joins the chunks at the start of buf in place, once all are there: a message that is read again when
// more of it has come must not be changed before.
func dechunk(buf []byte) (body []byte, n int, err error) {
	for at := 0; ; {
		size, from, err := chunk(buf[at:])
		if err != nil {
			return nil, 0, err
		}
		if at += from + size + 2; at > maxBody {
			return nil, 0, errLarge
		}
		if size == 0 {
			break
		}
	}
	w := 0
	for {
		size, from, err := chunk(buf[n:])
		if err != nil {
			return nil, 0, err
		}
		copy(buf[w:], buf[n+from:n+from+size])
		w, n = w+size, n+from+size+2
		if size == 0 {
			return buf[:w], n, nil
		}
	}
}

// chunk tells the size of the chunk at the start of buf, and where its content begins.
func chunk(buf []byte) (size, from int, err error) {
	eol := bytes.Index(buf, []byte("\r\n"))
	if eol < 0 {
		if len(buf) > 64 {
			return 0, 0, errBad
		}
		return 0, 0, errShort
	}
	word, _, _ := bytes.Cut(buf[:eol], []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(word)), 16, 32)
	if err != nil {
		return 0, 0, errBad
	}
	if n > maxBody {
		return 0, 0, errLarge
	}
	size, from = int(n), eol+2
	if len(buf) < from+size+2 {
		return 0, 0, errShort
	}
	if buf[from+size] != '\r' || buf[from+size+1] != '\n' {
		return 0, 0, errBad // trailers are not used here
	}
	return size, from, nil
}
