//go:build race

package admission

// raceDetector reports whether the race detector is on. Tests are then ten times slower and play fewer runs.
const raceDetector = true
