//go:build race

package execution

// raceDetector reports that the race detector is on. The tests then run ten times slower and visit fewer states.
const raceDetector = true
