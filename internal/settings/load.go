package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Key is the dotted key, for example entry.listen; empty for the whole file.
	Key    string
	Reason string
}

// String returns the problem as file: key: reason.
func (p Problem) String() string {
	if p.Key == "" {
		return p.File + ": " + p.Reason
	}
	return p.File + ": " + p.Key + ": " + p.Reason
}

// Error holds every problem of a settings file.
type Error struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings file at path. A failure is an *Error with all
// problems found.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Problems: []Problem{{File: path, Reason: readReason(err)}}}
	}
	return Parse(path, data)
}

// Parse parses and checks the text of a settings file; path is only used in
// problems.
func Parse(path string, data []byte) (*Settings, error) {
	var raw file
	problems := decode(path, data, &raw)
	s, keyProblems := raw.settings()
	// After a decoding error the values are incomplete, so further checks would
	// report misleading problems.
	if len(problems) == 0 {
		keyProblems = append(keyProblems, s.check()...)
	}
	for _, p := range keyProblems {
		problems = append(problems, Problem{File: path, Key: p.key, Reason: p.reason})
	}
	if len(problems) > 0 {
		return nil, &Error{Problems: problems}
	}
	return s, nil
}

func decode(path string, data []byte, into *file) []Problem {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var problems []Problem
		for _, e := range unknownKeys.Errors {
			problems = append(problems, Problem{File: path, Key: strings.Join(e.Key(), "."), Reason: "unknown key"})
		}
		return problems
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		reason := fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(decodeErr.Error(), "toml: "))
		return []Problem{{File: path, Key: strings.Join(decodeErr.Key(), "."), Reason: reason}}
	}
	return []Problem{{File: path, Reason: err.Error()}}
}

func readReason(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
