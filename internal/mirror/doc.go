// Package mirror keeps a daemon's copy of a part of the key-value service up
// to date: one read of all keys, then a watch from the revision of that read.
// A broken watch is reopened. If the history it needs was compacted, all keys
// are read again and the differences delivered. While the service is
// unreachable, the copy stays unchanged.
package mirror
