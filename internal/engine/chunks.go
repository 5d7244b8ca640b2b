package engine

import (
	"bytes"

	"beechcart/internal/copycount"
	"beechcart/internal/http1"
)

// maxChunkLineBytes bounds the chunk-size line of a chunk, extensions included.
const maxChunkLineBytes = 64

// joinChunks joins the chunks at the start of buf in place, and returns the body and the number of bytes read.
// joinChunks changes buf only once buf holds the last chunk: an incomplete response is parsed again from its start when
// more bytes have arrived.
func joinChunks(buf []byte, maxBody int) (body []byte, n int, err error) {
	for offset := 0; ; {
		size, start, err := parseChunk(buf[offset:], maxBody)
		if err != nil {
			return nil, 0, err
		}
		if offset += start + size + len("\r\n"); offset > maxBody {
			return nil, 0, errTooLarge
		}
		if size == 0 {
			break
		}
	}
	joined := 0
	for {
		size, start, err := parseChunk(buf[n:], maxBody)
		if err != nil {
			return nil, 0, err
		}
		copy(buf[joined:], buf[n+start:n+start+size])
		copycount.Add(copycount.Chunks, size)
		joined, n = joined+size, n+start+size+len("\r\n")
		if size == 0 {
			return buf[:joined], n, nil
		}
	}
}

// parseChunk returns the size of the chunk at the start of buf, and the offset of the chunk's content.
func parseChunk(buf []byte, maxBody int) (size, start int, err error) {
	end := bytes.Index(buf, []byte("\r\n"))
	if end < 0 {
		if len(buf) > maxChunkLineBytes {
			return 0, 0, errMalformed
		}
		return 0, 0, errIncomplete
	}
	if size, err = http1.ParseChunkSize(buf[:end], maxBody); err != nil {
		return 0, 0, err
	}
	start = end + len("\r\n")
	if len(buf) < start+size+len("\r\n") {
		return 0, 0, errIncomplete
	}
	if buf[start+size] != '\r' || buf[start+size+1] != '\n' {
		return 0, 0, errMalformed // trailers are not supported
	}
	return size, start, nil
}
