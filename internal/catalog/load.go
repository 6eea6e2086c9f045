package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// LoadDir reads every *.toml file of a directory, in name order, into one
// configuration. The problems state what could not be read; the contents are
// complete only if there are none. They must be validated with Check.
func LoadDir(dir string) (Contents, Problems) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return Contents{}, Problems{{File: dir, Reason: "not a directory that can be read"}}
	}
	paths, err := filepath.Glob(filepath.Join(escapeGlob(dir), "*.toml"))
	if err != nil {
		return Contents{}, Problems{{File: dir, Reason: err.Error()}}
	}
	if len(paths) == 0 {
		return Contents{}, Problems{{File: dir, Reason: "holds no *.toml file"}}
	}
	loader := newLoader()
	for _, path := range paths {
		loader.read(path)
	}
	return loader.contents, loader.problems.sorted()
}

// escapeGlob escapes the glob metacharacters in a path.
func escapeGlob(path string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(path)
}

// Parse parses the text of one configuration file; name is used in problems.
func Parse(name string, data []byte) (Contents, Problems) {
	loader := newLoader()
	loader.parse(name, data)
	return loader.contents, loader.problems.sorted()
}

// loader collects the items and problems of several files.
type loader struct {
	contents Contents
	problems Problems
	file     string
}

func newLoader() *loader {
	return &loader{contents: Contents{origins: make(origins)}}
}

func (l *loader) read(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		l.problems = append(l.problems, Problem{File: filepath.Base(path), Reason: "cannot be read"})
		return
	}
	l.parse(filepath.Base(path), data)
}

func (l *loader) parse(name string, data []byte) {
	l.file = name
	var f file
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		l.problems = append(l.problems, decodeProblems(name, err)...)
		return
	}
	l.convert(f)
}

func decodeProblems(name string, err error) Problems {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var problems Problems
		for _, e := range unknownKeys.Errors {
			row, _ := e.Position()
			problems = append(problems, Problem{name, strings.Join(e.Key(), "."), fmt.Sprintf("line %d: unknown key", row)})
		}
		return problems
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		reason := fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(decodeErr.Error(), "toml: "))
		return Problems{{name, strings.Join(decodeErr.Key(), "."), reason}}
	}
	return Problems{{File: name, Reason: err.Error()}}
}
