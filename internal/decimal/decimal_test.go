package decimal

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "1500": 1500, "820.5": 820.5, "1e-05": 1e-05, "2E3": 2000} {
		got, ok := Parse([]byte(text))
		assert.True(t, ok, text)
		assert.Equal(t, math.Float64bits(want), math.Float64bits(got), text)
	}
	for _, text := range []string{
		"", "+5", "-1", "-0", "NaN", "nan", "Inf", "+Inf", "infinity", "0x10", "0x1p-2", "1_000", "1e999", "1.2.3", "1,5",
		" 1", "1 ", "one",
	} {
		_, ok := Parse([]byte(text))
		assert.False(t, ok, text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("820.5"))
	f.Add([]byte("-1e9"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if v, ok := Parse(text); ok {
			require.False(t, math.IsNaN(v) || math.IsInf(v, 0) || math.Signbit(v), "%q", text)
		}
	})
}
