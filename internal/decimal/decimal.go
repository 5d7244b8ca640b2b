// Package decimal parses the numbers that clients and engines send as text.
package decimal

import (
	"bytes"
	"strconv"
)

// Parse parses a non-negative decimal number, with an optional fraction and exponent. It returns false for any other
// text, including forms that strconv accepts: leading signs, NaN, infinities and hexadecimal numbers.
func Parse(text []byte) (float64, bool) {
	if len(text) == 0 || text[0] < '0' || text[0] > '9' || bytes.ContainsAny(text, "xX_pP") {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(text), 64)
	return f, err == nil
}
