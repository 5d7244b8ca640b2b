package mysql

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beechcart/internal/exchange"
)

// TestResultSizeAgreesWithCheckRows generates complete rows and random strings. resultSize must accept the same
// input as exchange.CheckRows, and return the size that the encoded result has.
func TestResultSizeAgreesWithCheckRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := []byte(rapid.StringOf(rapid.SampledFrom([]rune("ab\t\t\n"))).Draw(t, "rows"))
		if rapid.Bool().Draw(t, "whole") {
			rows = nil
			for range rapid.IntRange(0, 5).Draw(t, "n") {
				for i := range columnCount {
					n := rapid.SampledFrom([]int{0, 1, 250, 251, 70000}).Draw(t, "cell")
					rows = append(rows, make([]byte, n)...)
					rows = append(rows, "\t\t\n"[i])
				}
			}
		}
		size, ok := resultSize(rows)
		if ok != (exchange.CheckRows(rows) == nil) {
			t.Fatalf("rows %q: resultSize accepts them: %v; CheckRows returns %v", rows, ok, exchange.CheckRows(rows))
		}
		if seq := byte(1); ok && len(encodeResult(&seq, rows)) != size {
			t.Fatalf("resultSize returned %d bytes, the encoded result has %d", size, len(encodeResult(&seq, rows)))
		}
	})
}

func TestAppendResult(t *testing.T) {
	long := strings.Repeat("x", 70000)
	seq := byte(1)
	b := encodeResult(&seq, []byte(long+"\tb\t\n"))
	var rows []string
	for n := byte(1); len(b) > 0; n++ {
		size := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
		require.Equal(t, n, b[3], "sequence")
		rows, b = append(rows, string(b[4:4+size])), b[4+size:]
	}
	require.Len(t, rows, 1+3+1+1+1)
	assert.Equal(t, "\xfd\x70\x11\x01"+long+"\x01b\x00", rows[5])
	assert.Equal(t, "\xfe", rows[6][:1])
}

// encodeResult returns an encoded result as a whole. resultSize must have accepted the rows.
func encodeResult(sequence *byte, rows []byte) []byte {
	b, _ := appendRows(appendResultHead(nil, sequence), sequence, rows, math.MaxInt)
	return appendEOF(b, sequence)
}

// The pieces in which a result is written must be the whole result, whatever their size.
func TestResultInPiecesIsTheWholeResult(t *testing.T) {
	rows := []byte(strings.Repeat("a\tbb\tccc\n", 20) + strings.Repeat("x", 500) + "\t\t\n" + "d\te\tf\n")
	sequence := byte(1)
	whole := encodeResult(&sequence, rows)
	for _, limit := range []int{1, 100, 256, 600, 1 << 20} {
		b := appendResultHead(nil, &sequence)
		var pieces []byte
		for rest := rows; len(rest) > 0; {
			if b, rest = appendRows(b, &sequence, rest, limit); len(rest) > 0 {
				pieces, b = append(pieces, b...), nil
			}
		}
		pieces = append(pieces, appendEOF(b, &sequence)...)
		assert.Equal(t, whole, pieces, "limit %d", limit)
	}
}
