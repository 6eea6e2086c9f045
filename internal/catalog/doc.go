// Package catalog manages the accepted configuration: it parses a directory of
// TOML files, validates it as a whole, stores it as content-addressed chunks
// that one head key references, and gives each daemon an immutable snapshot of
// the generation in force.
package catalog
