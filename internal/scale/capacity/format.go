package capacity

import (
	"math"
	"strconv"
	"strings"
)

// number writes a value with three significant digits, and whole from 100 on, with commas between thousands.
func number(v float64) string {
	size := math.Abs(v)
	switch {
	case v == 0:
		return "0"
	case size >= 99.95:
		return thousands(strconv.FormatFloat(v, 'f', 0, 64))
	case size >= 9.995:
		return trimZeros(strconv.FormatFloat(v, 'f', 1, 64))
	case size >= 0.9995:
		return trimZeros(strconv.FormatFloat(v, 'f', 2, 64))
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func trimZeros(text string) string {
	if !strings.Contains(text, ".") {
		return text
	}
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// thousands puts a comma between each three digits of a whole number.
func thousands(text string) string {
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	for at := len(text) - 3; at > 0; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return sign + text
}

// percent writes a share.
func percent(share float64) string { return number(share*100) + "%" }

// deviation writes how far values lie apart, as a share.
func deviation(share float64) string { return strconv.FormatFloat(share*100, 'f', 1, 64) + "%" }

// leastPrefixed is the least amount of bytes that is written with a prefix.
const leastPrefixed = 10_000

// bytes writes an amount of bytes, large ones with a decimal prefix.
func bytes(v float64) string {
	if math.Abs(v) < leastPrefixed {
		return number(v) + " B"
	}
	for _, prefix := range []struct {
		name string
		of   float64
	}{{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}} {
		if math.Abs(v) >= prefix.of {
			return number(v/prefix.of) + " " + prefix.name
		}
	}
	return number(v) + " B"
}

// format writes a value in its unit.
func format(v float64, unit Unit) string {
	switch unit {
	case Bytes:
		return bytes(v)
	case BytesPerSecond:
		return bytes(v) + "/s"
	case BytesPerDay:
		return bytes(v) + " a day"
	case Cores:
		return percent(v) + " of a core"
	case CPUSeconds:
		return duration(v) + " of a core"
	case Seconds:
		return duration(v)
	case PerSecond:
		return number(v) + "/s"
	case Share:
		return percent(v)
	default: // Count
		return number(v)
	}
}

// duration writes seconds in the unit that suits them.
func duration(seconds float64) string {
	switch size := math.Abs(seconds); {
	case size >= 1 || size == 0:
		return number(seconds) + " s"
	case size >= 1e-3:
		return number(seconds*1e3) + " ms"
	}
	return number(seconds*1e6) + " µs"
}
