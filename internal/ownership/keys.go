package ownership

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/barleylift/barleylift/internal/infra"
)

// The prefixes of the keys in the key-value service: members/<name> and
// owners/<kind>/<id>. Values are JSON, and keys are attached to the daemon's
// lease.
const (
	membersPrefix = "members/"
	ownersPrefix  = "owners/"
)

func memberKey(name string) string {
	return membersPrefix + name
}

func ownerKey(k resourceKey) string {
	return ownersPrefix + string(k.kind) + "/" + k.id
}

func parseMember(e infra.Entry) (registeredMember, error) {
	var m Member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return registeredMember{}, fmt.Errorf("member key %s: %w", e.Key, err)
	}
	m.Name = strings.TrimPrefix(e.Key, membersPrefix)
	return registeredMember{Member: m, revision: e.CreateRevision}, nil
}

// parseOwnerKey returns the resource that an owner key belongs to.
func parseOwnerKey(key string) (resourceKey, bool) {
	kind, id, ok := strings.Cut(strings.TrimPrefix(key, ownersPrefix), "/")
	return resourceKey{Kind(kind), id}, ok && kind != "" && id != ""
}

func parseOwner(e infra.Entry) (ownerKeyState, error) {
	key, ok := parseOwnerKey(e.Key)
	if !ok {
		return ownerKeyState{}, fmt.Errorf("owner key %s: want kind and identifier", e.Key)
	}
	state := ownerKeyState{key: key, lease: e.Lease, modRevision: e.ModRevision}
	if err := json.Unmarshal(e.Value, &state.owner); err != nil {
		return ownerKeyState{}, fmt.Errorf("owner key %s: %w", e.Key, err)
	}
	state.owner.Token = Token(e.CreateRevision)
	return state, nil
}

// encode returns the JSON encoding of a value whose type can always be encoded.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic("ownership: value can't be encoded as JSON: " + err.Error())
	}
	return text
}
