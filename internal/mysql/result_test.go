package mysql

import (
	"testing"

	"pgregory.net/rapid"

	"beechcart/internal/exchange"
)

// Guards against two checks of rows that drift apart: resultSize, which measures on the way, and exchange.CheckRows.
func TestResultSizeAgreesWithCheckRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := []byte(rapid.StringOf(rapid.SampledFrom([]rune("ab\t\t\n"))).Draw(t, "rows"))
		if rapid.Bool().Draw(t, "whole") {
			rows = nil
			for range rapid.IntRange(0, 5).Draw(t, "n") {
				for i := range columns {
					n := rapid.SampledFrom([]int{0, 1, 250, 251, 70000}).Draw(t, "cell")
					rows = append(rows, make([]byte, n)...)
					rows = append(rows, "\t\t\n"[i])
				}
			}
		}
		size, ok := resultSize(rows)
		if ok != (exchange.CheckRows(rows) == nil) {
			t.Fatalf("%q: whole %v, CheckRows says %v", rows, ok, exchange.CheckRows(rows))
		}
		if seq := byte(1); ok && len(appendResult(nil, &seq, rows)) != size {
			t.Fatalf("%d bytes measured, %d written", size, len(appendResult(nil, &seq, rows)))
		}
	})
}
