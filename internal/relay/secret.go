package relay

import (
	"fmt"
	"io"
	"log/slog"
)

// Secret is a text that logs and error texts must not show. It formats as a placeholder.
type Secret string

const hiddenSecret = "[secret]"

// Format implements fmt.Formatter for all verbs.
func (Secret) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, hiddenSecret)
}

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value {
	return slog.StringValue(hiddenSecret)
}

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) {
	return []byte(hiddenSecret), nil
}
