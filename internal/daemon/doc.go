// Package daemon builds the components of one barleylift process, starts them in
// order and drains them.
package daemon
