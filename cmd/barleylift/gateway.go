package main

import (
	"context"
	"os"

	"github.com/barleylift/barleylift/internal/command"
	"github.com/barleylift/barleylift/internal/gateway"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/oplog"
	"github.com/barleylift/barleylift/platform"
	"github.com/prometheus/client_golang/prometheus"
)

// runGateway runs a daemon as a gateway of the users' platform.
func runGateway(ctx context.Context, o command.GatewayOptions) error {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	output := oplog.New(o.Stdout)
	defer output.Close()
	registry := prometheus.NewRegistry()
	meters := metrics.NewGateway(registry)
	return gateway.Run(ctx, gateway.Options{
		Settings: settings,
		Platform: platform.New(settings.Store.String(), meters.KVCall),
		Reload:   func() (gateway.Settings, error) { return platform.LoadSettings(path) },
		Metrics:  o.Metrics,
		Registry: registry,
		Meters:   meters,
		Log:      output.Logger(o.Level),
	})
}
