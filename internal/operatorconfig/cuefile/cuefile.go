// Package cuefile checks the operators' settings in CUE (cuelang.org) and builds the JSON that the front end reads. It is
// linked into gatewayctl only: CUE costs more memory and start time than the front end may take (docs/consul.md).
package cuefile

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/token"

	"beechcart/internal/operatorconfig"
)

//go:embed schema.cue
var schema string

// Problem is one thing wrong with a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`  // 0: not at one line
	Field   string `json:"field"` // empty: the file as a whole
	Found   string `json:"found,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Text    string `json:"text"`
}

func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
	}
	if p.Field != "" {
		s += ": " + p.Field
	}
	s += ": " + p.Text
	if p.Found != "" {
		s += "; found " + p.Found
	}
	if p.Allowed != "" {
		s += "; allowed is " + p.Allowed
	}
	return s
}

// Problems are all that is wrong with a file, in the order of its lines.
type Problems []Problem

func (p Problems) Error() string {
	var lines []string
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return strings.Join(lines, "\n")
}

// Schema is the text of the schema, with every field, its default and its range.
func Schema() string { return schema }

// Read checks a file, and returns its settings with the defaults filled in; an error is Problems or that of the file
// system.
func Read(path string) (cue.Value, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return cue.Value{}, fmt.Errorf("settings: %w", err)
	}
	ctx := cuecontext.New()
	rules := ctx.CompileString(schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := rules.Err(); err != nil {
		return cue.Value{}, fmt.Errorf("settings: the schema itself: %w", err)
	}
	file := ctx.CompileBytes(text, cue.Filename(path))
	if err := file.Err(); err != nil {
		return cue.Value{}, problems(path, err, rules, file)
	}
	v := rules.Unify(file)
	if err := v.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return cue.Value{}, problems(path, err, rules, file)
	}
	return v, nil
}

// Build checks a file and returns the JSON for the front end.
func Build(path string) ([]byte, error) {
	v, err := Read(path)
	if err != nil {
		return nil, err
	}
	text, err := v.MarshalJSON()
	if err != nil {
		return nil, problems(path, err, v, v)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, `{"schema":%d,`, operatorconfig.Schema)
	out.Write(bytes.TrimPrefix(text, []byte("{")))
	text = append([]byte(nil), out.Bytes()...)
	out.Reset()
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	out.WriteByte('\n')
	// What the front end would not take must not be built: bounds that hang together are checked there.
	s, err := operatorconfig.Parse(out.Bytes())
	if err == nil {
		err = check(s)
	}
	if err != nil {
		return nil, Problems{{File: path, Text: err.Error()}}
	}
	return out.Bytes(), nil
}

func check(s operatorconfig.Settings) error {
	if err := s.Consul.Membership.Check(); err != nil {
		return fmt.Errorf("membership.%w", err)
	}
	if err := s.Consul.Poll.Check(); err != nil {
		return fmt.Errorf("consul.%w", err)
	}
	if (s.Consul.CertFile == "") != (s.Consul.KeyFile == "") {
		return errors.New("consul: cert_file and key_file go together")
	}
	return nil
}

// problems puts CUE's errors into words: one for each field, at its line in the file.
func problems(path string, err error, rules, file cue.Value) error {
	var out Problems
	seen := map[string]bool{}
	for _, e := range errors.Errors(err) {
		f, args := e.Msg()
		p := Problem{File: path, Field: field(e.Path()), Text: strings.TrimSpace(fmt.Sprintf(f, args...))}
		if p.Field != "" {
			if seen[p.Field] {
				continue
			}
			seen[p.Field] = true
			at := cue.ParsePath(p.Field)
			if v := file.LookupPath(at); v.Exists() {
				p.Found, p.Line = text(v), v.Pos().Line()
			}
			if r := rules.LookupPath(at); r.Exists() {
				p.Allowed, p.Text = allowed(r), "not allowed"
			} else {
				parent := rules
				if i := strings.LastIndexByte(p.Field, '.'); i >= 0 {
					parent = rules.LookupPath(cue.ParsePath(p.Field[:i]))
				}
				p.Text, p.Found, p.Allowed = "not known", "", "one of "+strings.Join(fields(parent), ", ")
			}
		}
		if p.Line == 0 {
			p.Line = line(path, e)
		}
		out = append(out, p)
	}
	return out
}

// field is the path of an error as the file has it.
func field(path []string) string {
	if len(path) > 0 && path[0] == "#Settings" {
		path = path[1:]
	}
	return strings.Join(path, ".")
}

func line(path string, e errors.Error) int {
	for _, pos := range append([]token.Pos{e.Position()}, e.InputPositions()...) {
		if pos.IsValid() && pos.Filename() == path {
			return pos.Line()
		}
	}
	return 0
}

// text is a value as it would be written in a file.
func text(v cue.Value) string {
	b, err := format.Node(v.Syntax(cue.Raw()))
	if err != nil {
		return fmt.Sprint(v)
	}
	s := strings.Join(strings.Fields(string(b)), " ")
	if len(s) > 60 {
		s = s[:57] + "..."
	}
	return s
}

// allowed is what the schema lets a field be.
func allowed(r cue.Value) string {
	if r.IncompleteKind() == cue.StructKind {
		return "a record of " + strings.Join(fields(r), ", ")
	}
	b, err := format.Node(r.Syntax(cue.Raw()))
	if err != nil {
		return fmt.Sprint(r)
	}
	return strings.Join(strings.Fields(string(b)), " ")
}

func fields(r cue.Value) []string {
	var names []string
	if it, err := r.Fields(); err == nil {
		for it.Next() {
			names = append(names, it.Selector().String())
		}
	}
	return names
}
