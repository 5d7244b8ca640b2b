package engine

import (
	"bytes"

	"beechcart/admission"
)

// notReported is the value of a field that is missing from a load report.
const notReported = -1

// parseLoadReport parses a load report such as "inflight:7;util:0.61". The result is nil for an empty text. Unknown and
// malformed fields are skipped.
func parseLoadReport(text []byte) *admission.Report {
	if len(text) == 0 {
		return nil
	}
	report := &admission.Report{
		InFlight: notReported, Queued: notReported, Utilization: notReported, MemoryUtilization: notReported,
		DiskUtilization: notReported,
	}
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(";"))
		name, value, _ := bytes.Cut(pair, []byte(":"))
		number, ok := parseNumber(bytes.TrimSpace(value))
		if !ok {
			continue
		}
		switch string(bytes.TrimSpace(name)) {
		case "inflight", "outstanding":
			report.InFlight = number
		case "queue", "backlog":
			report.Queued = number
		case "util", "utilization":
			report.Utilization = number
		case "x0":
			report.MemoryUtilization = number
		case "x1":
			report.DiskUtilization = number
		}
	}
	return report
}
