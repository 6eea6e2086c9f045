// Package command implements barleylift's command line: it parses the arguments,
// runs the requested command and returns the process's exit code.
package command
