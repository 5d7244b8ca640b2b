package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScaleHostReportsInvalidConfiguration(t *testing.T) {
	for input, problem := range map[string]string{
		"{}":            "report_millis: found 0",
		"":              "host configuration: EOF",
		`{"membres":1}`: "membres",
	} {
		c := scaleHostCommand()
		c.SetArgs([]string{})
		c.SetIn(strings.NewReader(input))
		assert.ErrorContains(t, c.Execute(), problem)
	}
}
