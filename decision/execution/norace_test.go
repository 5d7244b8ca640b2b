//go:build !race

package execution

const raceDetector = false
