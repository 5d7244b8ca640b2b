// Package docs holds the pages of this directory to the source tree.
package docs

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pages are those whose references are checked, from the root of the project.
var pages = []string{"docs/ARCHITECTURE.md", "docs/terms.md", "CONTRIBUTING.md"}

var (
	// goReference is `file.go` or `file.go#Name`, `file.go#Type.Member`, in backquotes.
	goReference = regexp.MustCompile("`([A-Za-z0-9_./-]+\\.go)(?:#([A-Za-z0-9_.]+))?`")
	// directoryReference is a directory of the project in backquotes.
	directoryReference = regexp.MustCompile(
		"`((?:admission|bench|cmd|decision|deploy|docs|internal|journal|tools)(?:/[A-Za-z0-9_.-]+)*)/?`")
	// link is a link to a page.
	link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	// knownRed is an entry of KNOWN-RED.txt: a package's directory and a test.
	knownRed = regexp.MustCompile(`(?m)^test: (\S+) (\S+)$`)
	// layerRow is a row of the table of layers: a number, what the layer is, its packages.
	layerRow = regexp.MustCompile(`(?m)^\| (\d+) \| [^|]* \| ([^|]*) \|$`)
)

const (
	root   = ".."
	module = "beechcart/"
)

// sourceFile is what a Go file declares and imports.
type sourceFile struct {
	names   map[string]bool // Name, and Type.Member for methods and fields
	strings map[string]bool // values of string and character literals and struct tags, imports excepted
	imports []string        // packages of this project, from its root
}

// readTree reads every Go file below the root, by its path from there.
func readTree(t *testing.T) map[string]*sourceFile {
	t.Helper()
	files := map[string]*sourceFile{}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "testdata" || (strings.HasPrefix(entry.Name(), ".") && name != root)) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		files[filepath.ToSlash(relative)] = declarations(parsed)
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, len(files), 100, "the source tree was read")
	return files
}

func declarations(parsed *ast.File) *sourceFile {
	file := &sourceFile{names: map[string]bool{}, strings: map[string]bool{}}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if _, ok := node.(*ast.ImportSpec); ok {
			return false
		}
		literal, ok := node.(*ast.BasicLit)
		if !ok || (literal.Kind != token.STRING && literal.Kind != token.CHAR) {
			return true
		}
		if value, err := strconv.Unquote(literal.Value); err == nil {
			file.strings[value] = true
		}
		return true
	})
	for _, spec := range parsed.Imports {
		if name, err := strconv.Unquote(spec.Path.Value); err == nil && strings.HasPrefix(name, module) {
			file.imports = append(file.imports, strings.TrimPrefix(name, module))
		}
	}
	for _, declaration := range parsed.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			file.names[receiverPrefix(declaration)+declaration.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				file.addSpec(spec)
			}
		}
	}
	return file
}

func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func (f *sourceFile) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			f.names[name.Name] = true
		}
	case *ast.TypeSpec:
		f.names[spec.Name.Name] = true
		var members *ast.FieldList
		switch kind := spec.Type.(type) {
		case *ast.StructType:
			members = kind.Fields
		case *ast.InterfaceType:
			members = kind.Methods
		}
		if members == nil {
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				f.names[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	require.NoError(t, err)
	return string(text)
}

// packages lists the directories with Go files that are more than tests.
func packages(files map[string]*sourceFile) []string {
	var list []string
	for name := range files {
		if !strings.HasSuffix(name, "_test.go") {
			list = append(list, path.Dir(name))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// TestPagesNameWhatExists fails for a file, a directory, a declaration or a linked page that a page names and that is
// not in the tree.
func TestPagesNameWhatExists(t *testing.T) {
	files := readTree(t)
	for _, page := range pages {
		t.Run(page, func(t *testing.T) {
			text := readPage(t, page)
			references := goReference.FindAllStringSubmatch(text, -1)
			require.NotEmpty(t, references, "the page names files")
			for _, reference := range references {
				file := files[reference[1]]
				if file == nil {
					t.Errorf("%s: there is no such file", reference[0])
				} else if reference[2] != "" && !file.names[reference[2]] {
					t.Errorf("%s: the file declares no such name", reference[0])
				}
			}
			for _, reference := range directoryReference.FindAllStringSubmatch(text, -1) {
				if _, err := os.Stat(filepath.Join(root, reference[1])); errors.Is(err, fs.ErrNotExist) {
					t.Errorf("%s: there is no such file or directory", reference[0])
				}
			}
			for _, target := range link.FindAllStringSubmatch(text, -1) {
				if _, err := os.Stat(filepath.Join(root, path.Dir(page), target[1])); errors.Is(err, fs.ErrNotExist) {
					t.Errorf("%s: there is no such page", target[0])
				}
			}
		})
	}
}

// layers reads the table of layers, the uppermost with the lowest number, by package.
func layers(t *testing.T) map[string]int {
	t.Helper()
	byPackage := map[string]int{}
	for _, row := range layerRow.FindAllStringSubmatch(readPage(t, "docs/ARCHITECTURE.md"), -1) {
		number, err := strconv.Atoi(row[1])
		require.NoError(t, err)
		for _, reference := range directoryReference.FindAllStringSubmatch(row[2], -1) {
			require.NotContains(t, byPackage, reference[1], "a package stands in one layer")
			byPackage[reference[1]] = number
		}
	}
	return byPackage
}

// TestEveryPackageStandsInALayer fails for a package that the table of layers leaves out.
func TestEveryPackageStandsInALayer(t *testing.T) {
	byPackage := layers(t)
	for _, name := range packages(readTree(t)) {
		if _, ok := byPackage[name]; !ok {
			t.Errorf("%s: in no layer of docs/ARCHITECTURE.md", name)
		}
	}
}

// TestImportsPointDown fails for an import that does not lead to a lower layer. A package may import what lies below
// its own directory.
func TestImportsPointDown(t *testing.T) {
	byPackage := layers(t)
	for name, file := range readTree(t) {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		importer := path.Dir(name)
		for _, imported := range file.imports {
			within := strings.HasPrefix(imported, importer+"/")
			if !within && byPackage[imported] <= byPackage[importer] {
				t.Errorf("%s (layer %d) imports %s (layer %d)", name, byPackage[importer], imported, byPackage[imported])
			}
		}
	}
}

// TestKnownRedNamesTests fails for an entry of KNOWN-RED.txt, whose tests CI passes over, that is not one test of one
// package, or whose name stands in another package too.
func TestKnownRedNamesTests(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	require.NoError(t, err)
	files := readTree(t)
	entries := knownRed.FindAllStringSubmatch(string(text), -1)
	require.Len(t, entries, strings.Count("\n"+string(text), "\ntest:"), "each entry names a directory and a test")
	for _, entry := range entries {
		var declaredIn []string
		for name, file := range files {
			if strings.HasSuffix(name, "_test.go") && file.names[entry[2]] {
				declaredIn = append(declaredIn, path.Dir(name))
			}
		}
		require.Equal(t, []string{entry[1]}, declaredIn, entry[2])
	}
}

// TestOnCallNamesLogLines fails for a log line of the on-call page that no code logs.
func TestOnCallNamesLogLines(t *testing.T) {
	files := readTree(t)
	_, section, ok := strings.Cut(readPage(t, "docs/oncall.md"), "\n## Log lines\n")
	require.True(t, ok)
	section, _, ok = strings.Cut(section, "\n## ")
	require.True(t, ok)
	lines := 0
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]*`) \\|").FindAllStringSubmatch(section, -1) {
		for _, quoted := range regexp.MustCompile("`([^`]*)`").FindAllStringSubmatch(row[1], -1) {
			lines++
			logged := false
			for name, file := range files {
				logged = logged || (!strings.HasSuffix(name, "_test.go") && file.strings[quoted[1]])
			}
			// The head of the table names the field itself.
			if !logged && quoted[1] != "msg" {
				t.Errorf("%q: no code logs it", quoted[1])
			}
		}
	}
	require.Greater(t, lines, 20, "the table was read")
}
