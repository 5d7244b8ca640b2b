//go:build !race

package admission

const raceDetector = false
