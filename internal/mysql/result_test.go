package mysql

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beechcart/internal/exchange"
)

// TestResultSizeAgreesWithCheckRows generates complete rows and random strings. resultSize must accept the same
// input as exchange.CheckRows, and return the size that appendResult writes.
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
		if seq := byte(1); ok && len(appendResult(nil, &seq, rows)) != size {
			t.Fatalf("resultSize returned %d bytes, appendResult wrote %d", size, len(appendResult(nil, &seq, rows)))
		}
	})
}

func TestAppendResult(t *testing.T) {
	long := strings.Repeat("x", 70000)
	seq := byte(1)
	b := appendResult(nil, &seq, []byte(long+"\tb\t\n"))
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
