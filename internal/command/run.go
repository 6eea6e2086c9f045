package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/barleylift/barleylift/internal/settings"
)

// The exit codes of the process.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command was rejected or failed.
	ExitFailed = 1
	// ExitUsage means that the arguments are invalid.
	ExitUsage = 2
	// ExitConflict means that another operator's generation is in force.
	ExitConflict = 3
)

// Runner holds the functions and the version that the commands depend on.
type Runner struct {
	// Serve runs a daemon until ctx ends and it has drained.
	Serve func(ctx context.Context, s *settings.Settings, log *slog.Logger) error
	// Dev runs daemons with small stand-ins for the services that they depend on.
	Dev func(ctx context.Context, o DevOptions) error
	// Gateway runs a daemon on the users' platform until ctx ends and it has drained.
	Gateway func(ctx context.Context, o GatewayOptions) error
	// Version is printed by the version command.
	Version string
}

// GatewayOptions are the options of the gateway command.
type GatewayOptions struct {
	// Metrics is the host:port of the metrics page; empty for none.
	Metrics string
	// Level is the minimum level of log lines.
	Level slog.Level
	// Stdout receives the log.
	Stdout io.Writer
}

// DevOptions are the options of the dev command.
type DevOptions struct {
	// Listen is host:port for callers; empty for a free port on 127.0.0.1.
	Listen string
	// Quiet suppresses all output but the entries' addresses.
	Quiet bool
	// StandInsDir, if set, starts the stand-ins only. The settings of the daemons,
	// which the user starts, are written to this directory.
	StandInsDir string
	// Stdout receives the output of the command.
	Stdout io.Writer
}

// Streams are the output streams of the process.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Run runs the command in args, which exclude the program's name, and returns the
// exit code. For --help and invalid arguments the parser library prints a message
// and exits the process itself, with ExitOK or ExitUsage.
func Run(ctx context.Context, args []string, runner Runner, streams Streams) int {
	line := parse(args)
	if line.err != nil {
		fmt.Fprintln(streams.Err, "barleylift:", line.err)
		return ExitUsage
	}
	c := commands{options: line.options, runner: runner, streams: streams}
	switch {
	case line.serve.Used:
		return c.serve(ctx)
	case line.gateway.Used:
		return c.gateway(ctx)
	case line.check.Used:
		return c.check()
	case line.diff.Used:
		return c.diff(ctx)
	case line.apply.Used:
		return c.apply(ctx)
	case line.status.Used:
		return c.status(ctx)
	case line.dev.Used:
		return c.dev(ctx)
	case line.replay.Used:
		return c.replay(ctx)
	case line.trace.Used:
		return c.trace()
	case line.version.Used:
		return c.version()
	default:
		line.parser.ShowHelpWithMessage("a command is required")
		return ExitUsage
	}
}

// commands implements the commands; options holds the parsed arguments.
type commands struct {
	options options
	runner  Runner
	streams Streams
}

// fail prints an error and returns ExitFailed.
func (c commands) fail(err error) int {
	fmt.Fprintln(c.streams.Err, "barleylift:", err)
	return ExitFailed
}

// usage prints a message about invalid arguments and returns ExitUsage.
func (c commands) usage(message string) int {
	fmt.Fprintln(c.streams.Err, "barleylift:", message)
	return ExitUsage
}

func (c commands) version() int {
	fmt.Fprintln(c.streams.Out, "barleylift", c.runner.Version)
	return ExitOK
}
