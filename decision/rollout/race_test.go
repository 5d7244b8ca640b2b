//go:build race

package rollout

// raceDetector reports whether the race detector is on. Tests then run ten times slower, and take fewer steps.
const raceDetector = true
