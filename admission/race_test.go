//go:build race

package admission

// raceDetector tells that the tests run ten times slower, and play fewer runs.
const raceDetector = true
