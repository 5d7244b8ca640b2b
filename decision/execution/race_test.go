//go:build race

package execution

// raceDetector tells that the tests run ten times slower, and walk fewer states.
const raceDetector = true
