package relay

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a secret in any form of output: a verb of fmt, JSON, or a log line, by
// itself or as a field of a Call.
func TestSecretIsNotShown(t *testing.T) {
	const text = "sk-secret"
	call := Call{Caller: "Bearer " + text, Key: text}
	var shown strings.Builder
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		fmt.Fprintf(&shown, verb+" "+verb+" ", call.Key, call)
	}
	encoded, err := json.Marshal(call)
	if err != nil {
		t.Fatal(err)
	}
	shown.Write(encoded)
	slog.New(slog.NewTextHandler(&shown, nil)).Info("text", "key", call.Key, "call", call)
	slog.New(slog.NewJSONHandler(&shown, nil)).Info("text", "key", call.Key, "call", call)
	if strings.Contains(shown.String(), text) || strings.Contains(shown.String(), fmt.Sprintf("%x", text)) {
		t.Errorf("the secret is shown: %s", shown.String())
	}
}
