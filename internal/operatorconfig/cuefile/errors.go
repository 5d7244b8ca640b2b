package cuefile

import (
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/token"
)

// maxShownLength bounds what an error shows of a value, in bytes.
const maxShownLength = 60

// ValidationError is one thing wrong with a file. Its JSON is what 'gatewayctl config check --json' prints.
type ValidationError struct {
	File    string `json:"file"`
	Line    int    `json:"line"`  // 0: not at one line
	Field   string `json:"field"` // empty: the file as a whole
	Found   string `json:"found,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Text    string `json:"text"`
}

func (e ValidationError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Field != "" {
		b.WriteString(": " + e.Field)
	}
	b.WriteString(": " + e.Text)
	if e.Found != "" {
		b.WriteString("; found " + e.Found)
	}
	if e.Allowed != "" {
		b.WriteString("; allowed is " + e.Allowed)
	}
	return b.String()
}

// ValidationErrors are all that is wrong with a file, in the order in which CUE finds them.
type ValidationErrors []ValidationError

func (e ValidationErrors) Error() string {
	var lines []string
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// validationErrors translates CUE's errors: one for each field, at its line in the file.
func validationErrors(path string, err error, rules, file cue.Value) error {
	var list ValidationErrors
	seen := map[string]bool{}
	for _, cueError := range errors.Errors(err) {
		e := validationError(cueError, rules, file)
		if e.Field != "" && seen[e.Field] {
			continue
		}
		seen[e.Field] = true
		e.File = path
		if e.Line == 0 {
			e.Line = lineIn(path, cueError)
		}
		list = append(list, e)
	}
	return list
}

// validationError translates one error, without the file, and with the line only where the field is in the file.
func validationError(cueError errors.Error, rules, file cue.Value) ValidationError {
	message, args := cueError.Msg()
	e := ValidationError{
		Field: fieldName(cueError.Path()),
		Text:  strings.TrimSpace(fmt.Sprintf(message, args...)),
	}
	if e.Field == "" {
		return e
	}
	field := cue.ParsePath(e.Field)
	if v := file.LookupPath(field); v.Exists() {
		e.Found, e.Line = shown(v), v.Pos().Line()
	}
	if rule := rules.LookupPath(field); rule.Exists() {
		e.Allowed, e.Text = allowed(rule), "not allowed"
		return e
	}
	parent := rules
	if i := strings.LastIndexByte(e.Field, '.'); i >= 0 {
		parent = rules.LookupPath(cue.ParsePath(e.Field[:i]))
	}
	e.Text, e.Found, e.Allowed = "not known", "", "one of "+strings.Join(fieldNames(parent), ", ")
	return e
}

// fieldName is the path of an error as the file has it.
func fieldName(path []string) string {
	if len(path) > 0 && path[0] == "#Settings" {
		path = path[1:]
	}
	return strings.Join(path, ".")
}

// lineIn returns the line of an error in a file; 0 where it names none.
func lineIn(path string, e errors.Error) int {
	for _, position := range append([]token.Pos{e.Position()}, e.InputPositions()...) {
		if position.IsValid() && position.Filename() == path {
			return position.Line()
		}
	}
	return 0
}

// source returns a value as it would be written in a file, on one line.
func source(v cue.Value) (string, error) {
	text, err := format.Node(v.Syntax(cue.Raw()))
	return strings.Join(strings.Fields(string(text)), " "), err
}

// shown is the source of a value, shortened.
func shown(v cue.Value) string {
	text, err := source(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(text) > maxShownLength {
		const ellipsis = "..."
		text = text[:maxShownLength-len(ellipsis)] + ellipsis
	}
	return text
}

// allowed is what the schema lets a field be.
func allowed(rule cue.Value) string {
	if rule.IncompleteKind() == cue.StructKind {
		return "a record of " + strings.Join(fieldNames(rule), ", ")
	}
	text, err := source(rule)
	if err != nil {
		return fmt.Sprint(rule)
	}
	return text
}

func fieldNames(rule cue.Value) []string {
	var names []string
	if fields, err := rule.Fields(); err == nil {
		for fields.Next() {
			names = append(names, fields.Selector().String())
		}
	}
	return names
}
