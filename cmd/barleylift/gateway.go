package main

import (
	"context"

	"github.com/barleylift/barleylift/internal/command"
	"github.com/barleylift/barleylift/platform/launch"
)

// runGateway runs a daemon as a gateway of the users' platform.
func runGateway(ctx context.Context, o command.GatewayOptions) error {
	return launch.Run(ctx, launch.Options{Metrics: o.Metrics, Level: o.Level, Stdout: o.Stdout})
}
