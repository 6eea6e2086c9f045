package entry

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/profile"
)

// secretHash is the SHA-256 sum of "secret".
const secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func TestAuthenticate(t *testing.T) {
	snapshot := catalog.NewSnapshot(1, catalog.Contents{
		Profiles:  []profile.Profile{{Name: "first"}, {Name: "second"}, {Name: "foreign"}},
		Customers: []catalog.Customer{{Name: "gym", TokenHashes: []string{secretHash}, Profiles: []string{"first", "second"}}},
	})
	for _, tc := range []struct {
		authorization, profile string
		want                   string
		code                   call.Code
	}{
		{"Bearer secret", "", "first", ""},
		{"bearer secret", "second", "second", ""},
		{"Bearer secret", "foreign", "", call.CodeForbidden},
		{"Bearer secret", "unknown", "", call.CodeForbidden},
		{"Bearer wrong", "", "", call.CodeUnauthorized},
		{"Basic secret", "", "", call.CodeUnauthorized},
		{"", "", "", call.CodeUnauthorized},
	} {
		r := httptest.NewRequest(http.MethodPost, completionsPath, nil)
		r.Header.Set("Authorization", tc.authorization)
		r.Header.Set(ProfileHeader, tc.profile)
		_, prof, result := Authenticate(snapshot, r)
		if prof.Name != tc.want || result.Code != tc.code {
			t.Errorf("%q, profile %q: %q, %v", tc.authorization, tc.profile, prof.Name, result)
		}
	}
}

func TestRequestCheckNamesTheField(t *testing.T) {
	one, two, none := 1, 2, 0
	prompt := []byte(`"x"`)
	for field, q := range map[string]completionRequest{
		"model: ":      {Prompt: prompt},
		"prompt: ":     {Model: "a@1"},
		"n: ":          {Model: "a@1", Prompt: prompt, N: &two},
		"max_tokens: ": {Model: "a@1", Prompt: prompt, N: &one, MaxTokens: &none},
	} {
		err := q.check(completionsPath)
		if err == nil || len(err.Error()) < len(field) || err.Error()[:len(field)] != field {
			t.Errorf("%v, want an error that begins with %q", err, field)
		}
	}
}

func TestRankEntries(t *testing.T) {
	members := []ownership.Member{
		{Name: "a", Zone: "far", Region: "other", EntryAddress: "far"},
		{Name: "b", Zone: "near", Region: "here", EntryAddress: "near"},
		{Name: "c", Zone: "next", Region: "here", EntryAddress: "next"},
		{Name: "d", Zone: "near", Region: "here", EntryAddress: "leaving", Leaving: true},
	}
	got := rankEntries(members, "near", "here", "caller")
	if want := []string{"near", "next", "far"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// not_run is reported only if no attempt may have run and nothing was
// delivered.
func TestCallResult(t *testing.T) {
	for _, tc := range []struct {
		mayHaveRun bool
		parts      int
		last, want call.Outcome
	}{
		{false, 0, call.NotRun, call.NotRun},
		{true, 0, call.NotRun, call.Unknown},
		{true, 0, call.Unknown, call.Unknown},
		{false, 3, call.NotRun, call.Incomplete},
		{true, 3, call.Unknown, call.Incomplete},
	} {
		c := &modelCall{mayHaveRun: tc.mayHaveRun, writer: &responseSink{parts: tc.parts}}
		if got := c.callResult(call.Result{Outcome: tc.last}).Outcome; got != tc.want {
			t.Errorf("%+v: got %q", tc, got)
		}
	}
}

func TestSuspectsAreTriedLast(t *testing.T) {
	s := newSuspects()
	now := time.Unix(1000, 0)
	s.add("a", now)
	if !s.has("a", now.Add(suspectDuration-1)) || s.has("a", now.Add(suspectDuration)) || s.has("b", now) {
		t.Error("suspicion does not last as stated")
	}
}
