package relay

import (
	"errors"

	"github.com/barleylift/barleylift/internal/routing"
)

// TokenUsage is the number of tokens that a caller states for a request.
type TokenUsage struct {
	// Stated is set if the caller states any.
	Stated bool
	// Invalid is set if what it states is malformed.
	Invalid bool
	// Tokens is the sum of the prompt tokens and the maximum of output tokens.
	Tokens int64
}

var errInvalidUsage = errors.New("the token usage is not two whole numbers of 0 or more")

// Cost returns what a request counts for a quota: its tokens if the quota counts tokens,
// and 1 otherwise. A malformed usage is an error only where tokens are counted.
func (u TokenUsage) Cost(quota routing.Quota) (int64, error) {
	switch {
	case !quota.Tokens:
		return 1, nil
	case !u.Stated:
		return max(quota.PlainTokens, 1), nil
	case u.Invalid:
		return 0, errInvalidUsage
	default:
		return u.Tokens, nil
	}
}
