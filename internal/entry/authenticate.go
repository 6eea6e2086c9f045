package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/profile"
)

// ProfileHeader carries the name of the profile that a call uses.
const ProfileHeader = "Barleylift-Profile"

// Authenticate returns the customer that the request's bearer token belongs to
// and the profile that the call uses: the one named in the request, or else the
// customer's first.
func Authenticate(snapshot *catalog.Snapshot, r *http.Request) (catalog.Customer, profile.Profile, call.Result) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return catalog.Customer{}, profile.Profile{}, unauthorized("a bearer token is required")
	}
	customer, ok := snapshot.Authenticate(strings.TrimSpace(token))
	if !ok {
		return catalog.Customer{}, profile.Profile{}, unauthorized("the bearer token is not known")
	}
	name := r.Header.Get(ProfileHeader)
	if name == "" && len(customer.Profiles) > 0 {
		name = customer.Profiles[0]
	}
	prof, ok := snapshot.Profile(name)
	if !ok || !slices.Contains(customer.Profiles, name) {
		return customer, profile.Profile{}, call.Failed(call.Rejected, call.CodeForbidden, "the profile is not allowed for this customer")
	}
	return customer, prof, call.Result{}
}

func unauthorized(message string) call.Result {
	return call.Failed(call.Rejected, call.CodeUnauthorized, message)
}
