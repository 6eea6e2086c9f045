package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// Problem is one error in a configuration.
type Problem struct {
	// File is the file's name within the directory; empty when unknown.
	File string `json:"file"`
	// Field names the item and its key, for example engine "e1": zone.
	Field string `json:"field"`
	// Reason states what is wrong.
	Reason string `json:"reason"`
}

// String returns the problem as file: field: reason.
func (p Problem) String() string {
	parts := make([]string, 0, 3)
	for _, part := range []string{p.File, p.Field, p.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Problems lists every error found; it is empty for a valid configuration.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems by file, field and reason and returns them.
func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Reason, b.Reason))
	})
	return p
}

// itemKey identifies one item of a configuration.
type itemKey struct {
	kind Kind
	name string
}

// origins maps each item to the files that declare it, in reading order.
type origins map[itemKey][]string

func (o origins) add(kind Kind, name, file string) {
	key := itemKey{kind, name}
	o[key] = append(o[key], file)
}

// file returns the file of the nth declaration of an item.
func (o origins) file(kind Kind, name string, nth int) string {
	files := o[itemKey{kind, name}]
	if nth >= len(files) {
		return ""
	}
	return files[nth]
}
