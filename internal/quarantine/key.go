package quarantine

import (
	"cmp"

	"github.com/barleylift/barleylift/internal/topology"
)

// Kind says what a Key identifies.
type Kind int

const (
	// PromptPart is a part of prompts that requests share.
	PromptPart Kind = iota
	// WholeRequest is a request and its repetitions.
	WholeRequest
)

// Key identifies what engines may crash on.
type Key struct {
	Kind Kind
	ID   uint64
}

// String returns the kind as metrics name it.
func (k Kind) String() string {
	if k == WholeRequest {
		return "request"
	}
	return "prompt part"
}

// PartKey returns the key of a prompt part.
func PartKey(part topology.PromptPart) Key {
	return Key{PromptPart, uint64(part)}
}

// RequestKey returns the key of a request.
func RequestKey(fingerprint Fingerprint) Key {
	return Key{WholeRequest, uint64(fingerprint)}
}

// String returns the kind and the identifier.
func (k Key) String() string {
	return k.Kind.String() + " " + k.IDString()
}

// IDString returns the identifier.
func (k Key) IDString() string {
	if k.Kind == WholeRequest {
		return Fingerprint(k.ID).String()
	}
	return topology.PromptPart(k.ID).String()
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// Request is what a request is known by.
type Request struct {
	Fingerprint Fingerprint
	// Prompt lists all parts of its prompt. The last one is its own or its session's.
	Prompt []topology.PromptPart
}

// SharedParts returns the parts of the prompt that other requests have too.
func (r Request) SharedParts() []topology.PromptPart {
	return r.Prompt[:max(len(r.Prompt)-1, 0)]
}

// Keys returns what engines may crash on under the request: its parts that others share,
// and the request itself, if it has a fingerprint.
func (r Request) Keys() []Key {
	shared := r.SharedParts()
	keys := make([]Key, 0, len(shared)+1)
	for _, part := range shared {
		keys = append(keys, PartKey(part))
	}
	if r.Fingerprint != 0 {
		keys = append(keys, RequestKey(r.Fingerprint))
	}
	return keys
}
