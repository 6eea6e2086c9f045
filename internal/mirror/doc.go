// Package mirror keeps a daemon's copy of a part of the key-value service up
// to date: one read of all keys, then a watch from the revision of that read.
// A broken watch is opened again; forgotten history leads to a new read, of
// which the difference is delivered. While the service can't be reached, the
// copy stays as it was.
package mirror
