// Package knownred lets tests tolerate the known failures that KNOWN-RED.txt
// lists, and no others.
package knownred

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"testing"
)

// listName is the name of the list, which is at the root of the repository.
const listName = "KNOWN-RED.txt"

// maxDepth is the depth of the deepest package below the root.
const maxDepth = 3

// read returns the list, which it looks for from the package's folder upwards.
func read() (content []byte, err error) {
	path := listName
	for range maxDepth + 1 {
		if content, err = os.ReadFile(path); err == nil {
			return content, nil
		}
		path = "../" + path
	}
	return nil, err
}

// Listed reports whether the list has a line whose first field is name.
func Listed(t testing.TB, name string) bool {
	t.Helper()
	content, err := read()
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		if field, _, _ := strings.Cut(strings.TrimSpace(line), " "); field == name {
			return true
		}
	}
	return false
}
