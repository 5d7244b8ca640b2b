package capacity

import (
	"math"
	"strconv"
	"strings"
)

// number formats a value with three significant digits. Values from 100 on are rounded to whole numbers, with commas
// between thousands.
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

// thousands inserts a comma after each group of three digits of a whole number, counted from the right.
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

// percent formats a share as a percentage.
func percent(share float64) string { return number(share*100) + "%" }

// deviation formats a relative deviation as a percentage with one decimal.
func deviation(share float64) string { return strconv.FormatFloat(share*100, 'f', 1, 64) + "%" }

// minPrefixed is the least number of bytes that is formatted with a prefix.
const minPrefixed = 10_000

// bytes formats a number of bytes. From minPrefixed on, the unit has a decimal prefix.
func bytes(v float64) string {
	if math.Abs(v) < minPrefixed {
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

// format formats a value with its unit.
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

// duration formats seconds as s, ms or µs, depending on the size.
func duration(seconds float64) string {
	switch size := math.Abs(seconds); {
	case size >= 1 || size == 0:
		return number(seconds) + " s"
	case size >= 1e-3:
		return number(seconds*1e3) + " ms"
	}
	return number(seconds*1e6) + " µs"
}
