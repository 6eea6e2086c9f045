package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/barleylift/barleylift/internal/settings"
)

func (c commands) serve(ctx context.Context) int {
	if c.options.settings == "" {
		return c.usage("serve: --settings is required")
	}
	s, err := settings.Load(c.options.settings)
	if err != nil {
		return c.fail(err)
	}
	if err := c.runner.Serve(ctx, s, newLogger(c.streams.Err, s.Log)); err != nil {
		return c.fail(err)
	}
	return ExitOK
}

// newLogger returns a logger with the level and format of the settings, which
// settings.Load has validated.
func newLogger(to io.Writer, log settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(log.Level)); err != nil {
		panic(fmt.Sprintf("log level %q is invalid despite the validation of the settings", log.Level))
	}
	options := &slog.HandlerOptions{Level: level}
	if log.Format == "text" {
		return slog.New(slog.NewTextHandler(to, options))
	}
	return slog.New(slog.NewJSONHandler(to, options))
}

func (c commands) dev(ctx context.Context) int {
	options := DevOptions{Listen: c.options.listen, Quiet: c.options.quiet, StandInsDir: c.options.standInsDir, Stdout: c.streams.Out}
	if err := c.runner.Dev(ctx, options); err != nil {
		return c.fail(err)
	}
	return ExitOK
}
