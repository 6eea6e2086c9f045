package catalog

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// reservedPatterns are the paths that barleylift serves itself.
var reservedPatterns = []string{"/v1/", "/metrics", "/healthz", "/readyz"}

// patternChecker finds patterns that net/http's ServeMux rejects, alone or
// together with earlier ones.
type patternChecker struct {
	mux *http.ServeMux
}

func newPatternChecker() *patternChecker {
	m := &patternChecker{mux: http.NewServeMux()}
	for _, pattern := range reservedPatterns {
		m.mux.Handle(pattern, http.NotFoundHandler())
	}
	return m
}

// add registers a pattern and returns why it is rejected, or "".
func (m *patternChecker) add(pattern string) (reason string) {
	if pattern == "" {
		return "required"
	}
	if path := literalPath(pattern); isReserved(path) {
		return fmt.Sprintf("%q lies within a path of barleylift's own", path)
	}
	defer func() {
		if cause := recover(); cause != nil {
			reason = oneLine(fmt.Sprint(cause))
		}
	}()
	m.mux.Handle(pattern, http.NotFoundHandler())
	return ""
}

// literalPath returns the path part of a pattern.
func literalPath(pattern string) string {
	_, rest, found := strings.Cut(strings.TrimSpace(pattern), " ")
	if !found {
		rest = pattern
	}
	rest = strings.TrimSpace(rest)
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		return rest[slash:]
	}
	return rest
}

// isReserved reports whether a path lies within one that barleylift serves
// itself. The mux would accept a more specific pattern, which would shadow it.
func isReserved(path string) bool {
	for _, prefix := range reservedPatterns {
		if path == prefix || path == strings.TrimSuffix(prefix, "/") || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}

// registeredAt matches the source location that net/http adds to its reasons.
var registeredAt = regexp.MustCompile(` \(registered at [^)]*\)`)

// oneLine removes source locations and line breaks from a reason of net/http.
func oneLine(reason string) string {
	return strings.Join(strings.Fields(registeredAt.ReplaceAllString(reason, "")), " ")
}
