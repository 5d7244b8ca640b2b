// Package cuefile checks the operators' settings in CUE (cuelang.org) and builds the JSON that the front end reads.
// Only gatewayctl links this package: CUE takes more memory and start-up time than the front end may use
// (docs/consul.md).
package cuefile

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"

	"beechcart/internal/operatorconfig"
)

//go:embed schema.cue
var schema string

// Schema returns the text of the schema, which holds every field with its default and its range.
func Schema() string { return schema }

// Read checks a file, and returns its settings with the defaults filled in. The error is a ValidationErrors, or wraps
// an error of the file system.
func Read(path string) (cue.Value, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return cue.Value{}, fmt.Errorf("settings: %w", err)
	}
	ctx := cuecontext.New()
	schemaValue := ctx.CompileString(schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := schemaValue.Err(); err != nil {
		return cue.Value{}, fmt.Errorf("settings: built-in schema is invalid: %w", err)
	}
	file := ctx.CompileBytes(text, cue.Filename(path))
	if err := file.Err(); err != nil {
		return cue.Value{}, validationErrors(path, err, schemaValue, file)
	}
	v := schemaValue.Unify(file)
	if err := v.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return cue.Value{}, validationErrors(path, err, schemaValue, file)
	}
	return v, nil
}

// Build checks a file and returns the JSON for the front end. Bounds between settings are checked by operatorconfig, so
// that Build returns an error for settings that the front end would reject.
func Build(path string) ([]byte, error) {
	v, err := Read(path)
	if err != nil {
		return nil, err
	}
	text, err := v.MarshalJSON()
	if err != nil {
		return nil, validationErrors(path, err, v, v)
	}
	var versioned bytes.Buffer
	fmt.Fprintf(&versioned, `{"schema":%d,`, operatorconfig.SchemaVersion)
	versioned.Write(bytes.TrimPrefix(text, []byte("{")))
	var built bytes.Buffer
	if err := json.Indent(&built, versioned.Bytes(), "", "  "); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	built.WriteByte('\n')
	settings, err := operatorconfig.Parse(built.Bytes())
	if err == nil {
		err = settings.Check()
	}
	if err != nil {
		return nil, ValidationErrors{{File: path, Text: err.Error()}}
	}
	return built.Bytes(), nil
}
