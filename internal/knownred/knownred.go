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

// listPath is the path of the list as seen from a package two levels below the root.
const listPath = "../../KNOWN-RED.txt"

// Listed reports whether the list has a line whose first field is name.
func Listed(t testing.TB, name string) bool {
	t.Helper()
	content, err := os.ReadFile(listPath)
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
