// Package dev runs several daemons in one process together with small stand-ins
// for the services that they depend on. The dev command and end-to-end tests
// use it.
package dev
