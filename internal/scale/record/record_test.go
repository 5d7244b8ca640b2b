package record

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// samplesOf returns three repeats of a quantity at each of five fleet sizes.
func samplesOf(value func(Size, int) float64) (samples []Sample) {
	for _, members := range []int{50, 100, 200, 400, 710} {
		for repeat := 1; repeat <= 3; repeat++ {
			size := Size{Members: members, Engines: members * 810 / 710}
			samples = append(samples, Sample{"sent_bytes_per_second", FrontEnd, size, repeat, value(size, repeat)})
		}
	}
	return samples
}

func TestFitLineFindsSlopeAndIntercept(t *testing.T) {
	f, err := FitLine(samplesOf(func(s Size,
		repeat int) float64 {
		return 900 + 0.5*float64(s.Members) + float64(repeat-2)
	}), InMembers)
	require.NoError(t, err)
	assert.InDelta(t, 0.5, f.Slope, 1e-6)
	assert.InDelta(t, 900, f.Intercept, 1e-6)
	assert.Equal(t, 5, f.Sizes)
	assert.True(t, f.Fits())
	at, err := f.At(Size{Members: 710})
	require.NoError(t, err)
	assert.InDelta(t, 1255, at, 1e-6)
	assert.InDelta(t, 2/925.0, f.Spread, 1e-3)
}

func TestQuadraticGrowthDoesNotFitALine(t *testing.T) {
	f, err := FitLine(samplesOf(func(s Size, _ int) float64 { return math.Pow(float64(s.Members), 2) }), InMembers)
	require.NoError(t, err)
	assert.False(t, f.Fits(), "residual %.3f", f.Residual)
	f, err = FitLine(samplesOf(func(s Size, _ int) float64 { return float64(s.Members) * float64(s.Engines) }), InProduct)
	require.NoError(t, err)
	assert.True(t, f.Fits(), "residual %.3f", f.Residual)
}

func TestConstantFitIsTheMean(t *testing.T) {
	f, err := FitLine(samplesOf(func(Size, int) float64 { return 7 }), Constant)
	require.NoError(t, err)
	assert.InDelta(t, 7, f.Intercept, 1e-9)
	assert.Zero(t, f.Slope)
	f, err = FitLine(samplesOf(func(s Size, _ int) float64 { return float64(s.Members) }), Constant)
	require.NoError(t, err)
	assert.False(t, f.Fits(), "a constant must not fit a growing quantity; residual %.3f", f.Residual)
	assert.Equal(t, 5, f.Sizes)
	_, err = FitLine(nil, Constant)
	assert.Error(t, err)
}

func TestRecordingRoundTripAndValidation(t *testing.T) {
	dir := t.TempDir()
	saved := Recording{Name: "gossip", Command: "gatewayctl scale sweep", Samples: samplesOf(func(Size,
		int) float64 {
		return 1
	})}
	require.NoError(t, saved.Save(dir))
	loaded, err := Load(dir)
	require.NoError(t, err)
	require.Len(t, loaded, 1)
	assert.Equal(t, saved, loaded[0])
	assert.Len(t, Select(loaded, "sent_bytes_per_second"), 15)
	assert.Empty(t, Select(loaded, "received_bytes_per_second"))
	for field, invalidate := range map[string]func(*Recording){
		"name":     func(r *Recording) { r.Name = "a/b" },
		"command":  func(r *Recording) { r.Command = "" },
		"samples":  func(r *Recording) { r.Samples = nil },
		"quantity": func(r *Recording) { r.Samples = []Sample{{Quantity: "Bytes"}} },
		"value":    func(r *Recording) { r.Samples = []Sample{{Quantity: "a_bytes", Value: math.NaN()}} },
	} {
		invalid := saved
		invalidate(&invalid)
		require.ErrorContains(t, invalid.Save(dir), field)
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "later.json"), []byte(`{"version":2}`), 0o600))
	_, err = Load(dir)
	assert.ErrorContains(t, err, "version: found 2")
}
