package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// pieceDelay is the time between the pieces of an answer.
const pieceDelay = 10 * time.Millisecond

// spoiled writes a spoilt answer in place of a good page, if one is due. A page is spoilt once at most.
func (e *engine) spoiled(w http.ResponseWriter, r *http.Request, id string, q *query, page int, body string) bool {
	e.mu.Lock()
	e.served++
	due := e.spoil != "" && !q.spoilt[page] && e.served%e.spoilEvery == 0 && time.Now().After(e.spoilFrom)
	q.spoilt[page] = q.spoilt[page] || due
	e.mu.Unlock()
	if !due {
		return false
	}
	if e.spoil == "second" {
		e.second(w, r, id, q, page, body)
		return true
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	e.mu.Lock()
	e.write(engineEvent{Event: "spoilt", ID: id, Bytes: len(body), Why: fmt.Sprintf("page %d", page)})
	e.mu.Unlock()
	defer conn.Close()
	// The length is that of the first half of the rows.
	rows := strings.SplitAfter(body, "\n")
	half := strings.Join(rows[:len(rows)/2], "")
	_, _ = conn.Write([]byte(head(q, page, len(half)) + half))
	time.Sleep(pieceDelay)
	_, _ = conn.Write([]byte(body[len(half):]))
	awaitEnd(conn, buffered)
	return true
}

// secondDelay is the time from an answer to its second copy.
const secondDelay = 5 * time.Millisecond

// second writes a good page, and a second copy of it secondDelay later. The connection stays in use.
func (e *engine) second(w http.ResponseWriter, r *http.Request, id string, q *query, page int, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
	conn := r.Context().Value(connKey{}).(net.Conn)
	go func() {
		time.Sleep(secondDelay)
		_, _ = conn.Write([]byte(head(q, page, len(body)) + body))
		e.mu.Lock()
		e.write(engineEvent{Event: "second", ID: id, Bytes: len(body)})
		e.mu.Unlock()
	}()
}

// head returns the head of a page that claims the given length.
func head(q *query, page, length int) string {
	fields := fmt.Sprintf("X-Batch: %d\r\n", page)
	if page == 0 {
		fields = fmt.Sprintf("X-Batches: %d\r\nX-Spent: %d\r\nX-Wanted: 16\r\n", q.pageCount, q.workMs)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n", length, fields)
}

// awaitEnd waits until the peer has closed the connection, which is no longer of use, for 5 s at most.
func awaitEnd(conn net.Conn, buffered *bufio.ReadWriter) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		if _, err := buffered.ReadByte(); err != nil {
			return
		}
	}
}
