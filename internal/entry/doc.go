// Package entry serves callers over HTTP. It authenticates them, resolves the
// adapter and the profile, sends model calls to the daemons that own the
// engines, and writes each response to its end. Calls that match none of its
// own paths are passed to the routes of plain services.
package entry
