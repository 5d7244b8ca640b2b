package rollout

import (
	"fmt"
	"strings"
)

// Code tells why a command was rejected. Its text is that of the HTTP interface and of the stored results.
type Code string

// The codes of rejected commands.
const (
	NoBudget           Code = "no-budget"     // a budget does not allow it; RejectedError names it
	NoPermit           Code = "no-permit"     // the permit does not stand, or is another process's
	NotFound           Code = "not-known"     // there is no such front end or engine
	FailedPrecondition Code = "not-now"       // the state does not allow it
	InvalidArgument    Code = "bad-value"     // a field has a value that is never allowed
	StaleMessage       Code = "older-word"    // a later message was applied already
	NothingToDo        Code = "nothing-to-do" // it would change nothing
)

// RejectedError tells why a command was not executed.
type RejectedError struct {
	Code        Code     `json:"code"`
	Text        string   `json:"text"`
	Scope       string   `json:"scope,omitempty"` // of the budget: "all", "room ZONE", "kind KIND" or "capacity"
	Limit       int      `json:"limit,omitempty"` // of the budget
	Unavailable []string `json:"out,omitempty"`   // who uses the budget up
}

// Error returns the text and the names of those that use the budget up.
func (e *RejectedError) Error() string {
	if len(e.Unavailable) == 0 {
		return e.Text
	}
	return e.Text + ": out are " + strings.Join(e.Unavailable, ", ")
}

// reject returns the result of a command that is not executed.
func reject(code Code, format string, args ...any) Result {
	return Result{Rejected: &RejectedError{Code: code, Text: fmt.Sprintf(format, args...)}}
}
