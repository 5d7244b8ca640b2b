package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"beechcart/admission"
)

const (
	firstRow  = "a\tb\tc\n"
	secondRow = "d\te\tf\n"
	bothRows  = firstRow + secondRow
)

// truncated returns a response with status 200 whose Content-Length covers only the first size bytes of the body.
func truncated(head, body string, size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, size, body)
}

func runAttempt(t *testing.T, script responseFunc) (reportedOutcome, *fakeEngine) {
	t.Helper()
	outcome, e, _ := runCountedAttempt(t, script)
	return outcome, e
}

// runCountedAttempt is runAttempt with the value of the counter truncated_page.
func runCountedAttempt(t *testing.T, script responseFunc) (outcome reportedOutcome, e *fakeEngine, truncatedPages int) {
	t.Helper()
	c, sink, _, e := newTestClient(t, 100, script)
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	outcome = <-sink
	return outcome, e, int(c.options.Counters.Get("truncated_page"))
}

// Guards against a result without its last rows: a Content-Length that is too short and ends at the end of a row leaves
// a body that consists of whole rows.
func TestTruncatedPageIsRequestedAgain(t *testing.T) {
	const onePage, twoPages, secondPage = "X-Batches: 1\r\n", "X-Batches: 2\r\n", "X-Batch: 1\r\n"
	whole := responseOK(onePage, bothRows)
	for name, tc := range map[string]struct {
		post, get0, get1 string // the first answers; all further answers are whole
		rows             string
	}{
		"first row only": {post: truncated(onePage, bothRows, len(firstRow)), rows: bothRows},
		"no row":         {post: truncated(onePage, bothRows, 0), rows: bothRows},
		"truncated twice": {
			post: truncated(onePage, bothRows, len(firstRow)), get0: truncated(onePage, bothRows, 0), rows: bothRows,
		},
		"rest of row incomplete": {post: truncated(onePage, firstRow+"d\te", len(firstRow)), rows: bothRows},
		"duplicate behind":       {post: truncated(onePage, bothRows, len(firstRow)) + whole, rows: bothRows},
		"further page": {
			post: responseOK(twoPages, firstRow), get1: truncated(secondPage, bothRows, len(firstRow)),
			rows: firstRow + bothRows,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcome, e := runAttempt(t, func(call string, nth int) string {
				switch {
				case call == "POST":
					return tc.post
				case call == "GET 0" && nth == 1 && tc.get0 != "":
					return tc.get0
				case call == "GET 1" && nth == 1:
					return tc.get1
				case call == "GET 1":
					return responseOK(secondPage, bothRows)
				}
				return whole
			})
			assert.Equal(t, admission.OK, outcome.Status)
			assert.Equal(t, tc.rows, outcome.rows)
			assert.Equal(t, 1, e.count("POST"), "a query that has run was sent again")
		})
	}
}

// Guards against a result without its last rows where each response is truncated in the same place, so that requesting
// the page again gives the same body.
func TestPageTruncatedEachTimeIsNeverServed(t *testing.T) {
	t.Parallel()
	outcome, e, truncatedPages := runCountedAttempt(t, func(string, int) string {
		return truncated("X-Batches: 1\r\n", bothRows, len(firstRow))
	})
	assert.Equal(t, admission.Reset, outcome.Status)
	assert.Empty(t, outcome.rows)
	assert.Equal(t, 1, e.count("POST"))
	assert.LessOrEqual(t, e.count("GET 0"), maxFailedPolls)
	assert.Equal(t, 1+e.count("GET 0"), truncatedPages)
}

// Guards against a complete result that is not served because noise or a duplicate follows each of its responses.
func TestCompletePageWithSurplusIsServed(t *testing.T) {
	whole := responseOK("X-Batches: 1\r\n", bothRows)
	for name, tc := range map[string]struct {
		surplus string
		polls   int // polls beyond the POST
	}{
		"duplicate":                 {surplus: whole},
		"truncated duplicate":       {surplus: whole[:len(whole)-3]},
		"line of noise":             {surplus: "\x8c\x6d\x4f noise\n"},
		"noise with too many tabs":  {surplus: "a\tb\tc\td"},
		"noise without a line feed": {surplus: "\x8c\x6d\x4f noise", polls: 1},
		"noise like part of a row":  {surplus: "a\tb", polls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcome, e := runAttempt(t, func(string, int) string { return whole + tc.surplus })
			assert.Equal(t, admission.OK, outcome.Status)
			assert.Equal(t, bothRows, outcome.rows)
			assert.Equal(t, []int{1, tc.polls}, []int{e.count("POST"), e.count("GET 0")})
		})
	}
}

// Guards against a result without the last rows of an earlier page: the rest of a truncated page may arrive only after
// the next page has been requested on the same connection, in place of that page's response.
func TestRowsInPlaceOfNextPageInvalidatePreviousPage(t *testing.T) {
	nextPage := responseOK("X-Batch: 1\r\n", firstRow)
	for name, late := range map[string]string{
		"rows and the response": secondRow + nextPage,
		"rows alone":            secondRow,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcome, e := runAttempt(t, func(call string, nth int) string {
				switch {
				case call == "POST":
					return responseOK("X-Batches: 2\r\n", firstRow) // the Content-Length of a truncated page
				case call == "GET 0":
					return responseOK("X-Batches: 2\r\n", bothRows)
				case nth == 1:
					return late
				}
				return nextPage
			})
			assert.Equal(t, admission.OK, outcome.Status)
			assert.Equal(t, bothRows+firstRow, outcome.rows)
			assert.Equal(t, []int{1, 1}, []int{e.count("POST"), e.count("GET 0")})
		})
	}
}

// Guards against an attempt that reads its result again without end, where rows come in place of the next page each
// time.
func TestRereadsOfResultAreBounded(t *testing.T) {
	t.Parallel()
	outcome, e, truncatedPages := runCountedAttempt(t, func(call string, _ int) string {
		if call == "GET 1" {
			return secondRow
		}
		return responseOK("X-Batches: 2\r\n", firstRow)
	})
	assert.Equal(t, admission.Reset, outcome.Status)
	assert.Empty(t, outcome.rows)
	assert.Equal(t, []int{1, maxRereads}, []int{e.count("POST"), e.count("GET 0")})
	assert.Equal(t, maxRereads, truncatedPages)
}
