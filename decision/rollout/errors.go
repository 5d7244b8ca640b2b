package rollout

import (
	"fmt"
	"strings"
)

// Code is the reason for a rejection. The HTTP interface and stored results use its text.
type Code string

// The codes of rejected commands.
const (
	NoBudget           Code = "no-budget"     // a budget does not allow the command; RejectedError names the budget
	NoPermit           Code = "no-permit"     // the permit is not in force, or was granted to another process
	NotFound           Code = "not-known"     // no such front end or engine exists
	FailedPrecondition Code = "not-now"       // the state does not allow the command
	InvalidArgument    Code = "bad-value"     // a field has a value that is never allowed
	StaleMessage       Code = "older-word"    // a later message was applied already
	NothingToDo        Code = "nothing-to-do" // the command would change nothing
)

// RejectedError is the reason why a command was not executed.
type RejectedError struct {
	Code        Code     `json:"code"`
	Text        string   `json:"text"`
	Scope       string   `json:"scope,omitempty"` // of the budget: "all", "room ZONE", "kind KIND" or "capacity"
	Limit       int      `json:"limit,omitempty"` // of the budget
	Unavailable []string `json:"out,omitempty"`   // names of those that use the budget up
}

// Error returns the text, followed by the names of those that use the budget up.
func (e *RejectedError) Error() string {
	if len(e.Unavailable) == 0 {
		return e.Text
	}
	return e.Text + ": out are " + strings.Join(e.Unavailable, ", ")
}

// reject returns the result of a rejected command.
func reject(code Code, format string, args ...any) Result {
	return Result{Rejected: &RejectedError{Code: code, Text: fmt.Sprintf(format, args...)}}
}
