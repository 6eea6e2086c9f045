// Command barleylift is the single binary of the serving layer: the daemon and
// the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/barleylift/barleylift/internal/command"
	"github.com/barleylift/barleylift/internal/daemon"
	"github.com/barleylift/barleylift/internal/dev"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runner := command.Runner{
		Serve: daemon.Run,
		Dev: func(ctx context.Context, o command.DevOptions) error {
			if o.StandInsDir != "" {
				return dev.RunStandIns(ctx, o.StandInsDir, o.Stdout)
			}
			return dev.Run(ctx, o.Listen, o.Quiet, o.Stdout)
		},
		Gateway: runGateway,
		Version: version(),
	}
	return command.Run(ctx, os.Args[1:], runner, command.Streams{Out: os.Stdout, Err: os.Stderr})
}

// version returns the module version recorded in the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
