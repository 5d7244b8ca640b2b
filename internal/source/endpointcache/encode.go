package endpointcache

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/xxh3"

	"beechcart/decision/discovery"
)

const (
	magic   = "beechcart-list"
	version = 1
	// headWords is the number of words in the first line.
	headWords = 4
)

// Encode encodes a list that was valid at the given time.
func Encode(list []discovery.Endpoint, at time.Time) []byte {
	var a fastjson.Arena
	entries := a.NewArray()
	for i, e := range list {
		entries.SetArrayItem(i, encodeEndpoint(&a, e))
	}
	root := a.NewObject()
	root.Set("kept_ms", a.NewNumberString(strconv.FormatInt(at.UnixMilli(), 10)))
	root.Set("engines", entries)
	body := root.MarshalTo(nil)
	head := fmt.Sprintf("%s %d %d %016x\n", magic, version, len(body), xxh3.Hash(body))
	return append([]byte(head), body...)
}

func encodeEndpoint(a *fastjson.Arena, e discovery.Endpoint) *fastjson.Value {
	o := a.NewObject()
	o.Set("key", a.NewString(e.Key))
	o.Set("addr", a.NewString(e.Addr))
	o.Set("zone", a.NewString(e.Zone))
	o.Set("kind", a.NewString(e.Kind))
	o.Set("cell", a.NewNumberInt(e.Cell))
	o.Set("weight", a.NewNumberFloat64(e.Weight))
	o.Set("created", a.NewNumberString(strconv.FormatUint(e.CreateIndex, 10)))
	o.Set("mark", a.NewString(e.Incarnation))
	o.Set("started_ms", a.NewNumberString(strconv.FormatInt(e.StartedAt.Milliseconds(), 10)))
	if e.Drain {
		o.Set("drain", a.NewTrue())
	}
	if !e.Passing {
		o.Set("failing", a.NewTrue())
	}
	return o
}

// Decode decodes the output of Encode. An error wraps one of the Err variables of this package.
func Decode(text []byte) (list []discovery.Endpoint, stored time.Time, err error) {
	if len(text) > maxFileBytes {
		return nil, stored, fmt.Errorf("%w: file exceeds %d bytes", ErrLarge, maxFileBytes)
	}
	head, body, hasBody := bytes.Cut(text, []byte("\n"))
	if len(text) == 0 || (!hasBody && bytes.HasPrefix([]byte(magic+" "), head)) {
		return nil, stored, fmt.Errorf("%w: first line is incomplete", ErrTruncated)
	}
	words := bytes.Split(head, []byte(" "))
	if string(words[0]) != magic {
		return nil, stored, fmt.Errorf("%w: file does not begin with %q", ErrForeign, magic)
	}
	if len(words) < 2 || !hasBody {
		return nil, stored, fmt.Errorf("%w: first line is incomplete", ErrTruncated)
	}
	if err := checkVersion(words[1]); err != nil {
		return nil, stored, err
	}
	if len(words) != headWords {
		return nil, stored, fmt.Errorf("%w: found %d words in the first line, must be four", ErrTorn, len(words))
	}
	if err := checkBody(body, words[2], words[3]); err != nil {
		return nil, stored, err
	}
	return decodeBody(body)
}

func checkVersion(text []byte) error {
	v, err := strconv.Atoi(string(text))
	if err != nil || v < 1 {
		return fmt.Errorf("%w: found version %q, must be a whole number from 1 on", ErrTorn, text)
	}
	if v > version {
		return fmt.Errorf("%w: found version %d, must be at most %d", ErrFuture, v, version)
	}
	return nil
}

// checkBody compares a body with the length and the checksum of the first line.
func checkBody(body, length, checksum []byte) error {
	size, err := strconv.Atoi(string(length))
	sum, err2 := strconv.ParseUint(string(checksum), 16, 64)
	switch {
	case err != nil || err2 != nil:
		return fmt.Errorf("%w: length or checksum in the first line is not a number", ErrTorn)
	case len(body) < size:
		return fmt.Errorf("%w: body has %d of %d bytes", ErrTruncated, len(body), size)
	case len(body) > size || xxh3.Hash(body) != sum:
		return fmt.Errorf("%w: length or checksum of the body differs from the first line", ErrTorn)
	}
	return nil
}

func decodeBody(body []byte) (list []discovery.Endpoint, stored time.Time, err error) {
	root, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, stored, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	entries, err := root.Get("engines").Array()
	if err != nil {
		return nil, stored, fmt.Errorf("%w: engines: %w", ErrMalformed, err)
	}
	for i, o := range entries {
		e := decodeEndpoint(o)
		if e.Key == "" || e.Addr == "" {
			return nil, stored, fmt.Errorf("%w: engine %d: found no key or no address, must have both", ErrMalformed, i)
		}
		list = append(list, e)
	}
	return list, time.UnixMilli(root.GetInt64("kept_ms")), nil
}

func decodeEndpoint(o *fastjson.Value) discovery.Endpoint {
	text := func(name string) string { return string(o.GetStringBytes(name)) }
	return discovery.Endpoint{
		Key:         text("key"),
		Addr:        text("addr"),
		Zone:        text("zone"),
		Kind:        text("kind"),
		Cell:        o.GetInt("cell"),
		Weight:      o.GetFloat64("weight"),
		CreateIndex: o.GetUint64("created"),
		Incarnation: text("mark"),
		StartedAt:   time.Duration(o.GetInt64("started_ms")) * time.Millisecond,
		Drain:       o.GetBool("drain"),
		Passing:     !o.GetBool("failing"),
	}
}
