package cuefile

import (
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/token"
)

// maxShownLength is the maximum number of bytes of a value that an error shows.
const maxShownLength = 60

// ValidationError is one error in a file. 'gatewayctl config check --json' prints its JSON form.
type ValidationError struct {
	File    string `json:"file"`
	Line    int    `json:"line"`  // 0: no single line
	Field   string `json:"field"` // empty: the error concerns the whole file
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

// ValidationErrors holds the errors in a file, in the order in which CUE reports them.
type ValidationErrors []ValidationError

func (e ValidationErrors) Error() string {
	var lines []string
	for _, item := range e {
		lines = append(lines, item.Error())
	}
	return strings.Join(lines, "\n")
}

// validationErrors converts CUE's errors: the first one for each field, with its line in the file.
func validationErrors(path string, err error, schemaValue, file cue.Value) error {
	var list ValidationErrors
	seen := map[string]bool{}
	for _, cueError := range errors.Errors(err) {
		e := validationError(cueError, schemaValue, file)
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

// validationError converts one error. It does not set File, and sets Line only if the field is in the file.
func validationError(cueError errors.Error, schemaValue, file cue.Value) ValidationError {
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
		e.Found, e.Line = shortSource(v), v.Pos().Line()
	}
	if constraint := schemaValue.LookupPath(field); constraint.Exists() {
		e.Allowed, e.Text = allowed(constraint), "not allowed"
		return e
	}
	parent := schemaValue
	if i := strings.LastIndexByte(e.Field, '.'); i >= 0 {
		parent = schemaValue.LookupPath(cue.ParsePath(e.Field[:i]))
	}
	e.Text, e.Found, e.Allowed = "not known", "", "one of "+strings.Join(fieldNames(parent), ", ")
	return e
}

// fieldName returns the path of an error as written in the file, without the schema's top-level definition.
func fieldName(path []string) string {
	if len(path) > 0 && path[0] == "#Settings" {
		path = path[1:]
	}
	return strings.Join(path, ".")
}

// lineIn returns the line of an error in a file; 0 if the error has no position in this file.
func lineIn(path string, e errors.Error) int {
	for _, position := range append([]token.Pos{e.Position()}, e.InputPositions()...) {
		if position.IsValid() && position.Filename() == path {
			return position.Line()
		}
	}
	return 0
}

// source returns the CUE source of a value on one line.
func source(v cue.Value) (string, error) {
	text, err := format.Node(v.Syntax(cue.Raw()))
	return strings.Join(strings.Fields(string(text)), " "), err
}

// shortSource returns the source of a value, shortened to maxShownLength.
func shortSource(v cue.Value) string {
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

// allowed describes the values that the schema allows for a field.
func allowed(constraint cue.Value) string {
	if constraint.IncompleteKind() == cue.StructKind {
		return "a record of " + strings.Join(fieldNames(constraint), ", ")
	}
	text, err := source(constraint)
	if err != nil {
		return fmt.Sprint(constraint)
	}
	return text
}

func fieldNames(constraint cue.Value) []string {
	var names []string
	if fields, err := constraint.Fields(); err == nil {
		for fields.Next() {
			names = append(names, fields.Selector().String())
		}
	}
	return names
}
