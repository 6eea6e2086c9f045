package command

import (
	"context"
	"fmt"
	"log/slog"
)

// gateway runs a daemon on the users' platform until ctx ends and it has drained.
func (c commands) gateway(ctx context.Context) int {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.options.logLevel)); err != nil {
		return c.usage(fmt.Sprintf("--log-level %q: want debug, info, warn or error", c.options.logLevel))
	}
	err := c.runner.Gateway(ctx, GatewayOptions{Metrics: c.options.metrics, Level: level, Stdout: c.streams.Out})
	if err != nil {
		return c.fail(err)
	}
	return ExitOK
}
