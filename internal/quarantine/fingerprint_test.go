package quarantine

import "testing"

func TestFingerprintTellsRequestsApartByPathCallerAndBody(t *testing.T) {
	base := NewFingerprint("POST", "h.example", "/a/b?q=1", "key-1", []byte("body"))
	if again := NewFingerprint("POST", "h.example", "/a/b?q=1", "key-1", []byte("body")); again != base {
		t.Errorf("a repetition has %v, want %v", again, base)
	}
	others := map[string]Fingerprint{
		"method":         NewFingerprint("PUT", "h.example", "/a/b?q=1", "key-1", []byte("body")),
		"host":           NewFingerprint("POST", "i.example", "/a/b?q=1", "key-1", []byte("body")),
		"query":          NewFingerprint("POST", "h.example", "/a/b?q=2", "key-1", []byte("body")),
		"case of path":   NewFingerprint("POST", "h.example", "/A/b?q=1", "key-1", []byte("body")),
		"escape in path": NewFingerprint("POST", "h.example", "/a%2Fb?q=1", "key-1", []byte("body")),
		"caller":         NewFingerprint("POST", "h.example", "/a/b?q=1", "key-2", []byte("body")),
		"body":           NewFingerprint("POST", "h.example", "/a/b?q=1", "key-1", []byte("body2")),
		"field borders":  NewFingerprint("POST", "h.example", "/a/b?q=1", "key-1b", []byte("ody")),
	}
	for name, other := range others {
		if other == base {
			t.Errorf("a request with another %s has the same fingerprint", name)
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		NewFingerprint("POST", "h.example", "/a/b?q=1", "", body)
	}
}
