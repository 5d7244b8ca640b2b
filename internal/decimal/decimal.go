// Package decimal reads the numbers that peers send, on either side.
package decimal

import (
	"bytes"
	"strconv"
)

// Parse reads a decimal number that is not negative; false for anything else. It rejects what strconv takes beyond
// that: signs, NaN, infinity and numbers in hex.
func Parse(text []byte) (float64, bool) {
	if len(text) == 0 || text[0] < '0' || text[0] > '9' || bytes.ContainsAny(text, "xX_pP") {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(text), 64)
	return f, err == nil
}
