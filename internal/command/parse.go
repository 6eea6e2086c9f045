package command

import (
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/integrii/flaggy"
)

const exitCodesHelp = "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict with another operator's change."

// noBase is the default of --base: the change applies to any generation in force.
const noBase = "any"

// options holds the values of all flags and positional arguments.
type options struct {
	dir         string
	settings    string
	endpoints   []string
	base        string
	json        bool
	blind       bool
	wait        time.Duration
	listen      string
	quiet       bool
	standInsDir string
	metrics     string
	logLevel    string
	replay      replayOptions
}

// baseGeneration returns the generation that --base names, or nil for any.
func (o options) baseGeneration() (*uint64, bool) {
	if o.base == noBase {
		return nil, true
	}
	base, err := strconv.ParseUint(o.base, 10, 64)
	return &base, err == nil
}

// commandLine holds the parsed arguments. Used is set in the requested subcommand.
type commandLine struct {
	options options
	err     error
	parser  *flaggy.Parser

	serve, gateway, check, diff, apply, status, dev, replay, trace, version *flaggy.Subcommand
}

// parse parses the arguments with a new parser rather than flaggy's global one.
func parse(args []string) *commandLine {
	line := &commandLine{options: options{base: noBase, wait: catalog.DefaultRestoreWait, replay: defaultReplayOptions()}}
	p := flaggy.NewParser("barleylift")
	p.Description = "A serving layer for very many LoRA adapters on shared model engines."
	p.DisableShowVersionWithVersion() // it would also handle the version command
	p.AdditionalHelpAppend = exitCodesHelp
	p.ShowCompletion = false
	line.parser = p
	o := &line.options
	o.logLevel = "info"

	line.serve = line.addCommand("serve", "Run a daemon; on SIGTERM or SIGINT it drains and exits.")
	line.serve.String(&o.settings, "", "settings", "TOML file with the daemon's settings (required).")

	line.gateway = line.addCommand("gateway", "Run a daemon on the users' platform, with the settings file that the platform provides.")
	line.gateway.String(&o.metrics, "", "metrics", "Listen address of the metrics page, as host:port; no metrics page if not set.")
	line.gateway.String(&o.logLevel, "", "log-level", "Minimum level of log lines: debug, info, warn or error.")

	line.check = line.addCommand("check", "Validate a configuration directory and list each problem with its file, field and reason.")
	line.addDirectory(line.check)
	line.addJSONFlag(line.check)

	line.diff = line.addCommand("diff", "Show how a configuration directory differs from the configuration in force.")
	line.addDirectory(line.diff)
	line.addServiceFlags(line.diff)
	line.addJSONFlag(line.diff)

	line.apply = line.addCommand("apply", "Validate a configuration directory and publish it as the new configuration of all daemons.")
	line.addDirectory(line.apply)
	line.addServiceFlags(line.apply)
	line.apply.String(&o.base, "", "base", "Generation that the change is based on; apply fails with a conflict if another one is in force.")
	line.apply.Bool(&o.blind, "", "blind", "Skip the check against the generations that daemons have in force. Use only if no daemon is reachable: after a restore of the key-value service this may revert accepted changes.")
	line.apply.Duration(&o.wait, "", "wait", "Maximum time to wait for daemons to write a newer generation back to a restored key-value service.")
	line.addJSONFlag(line.apply)

	line.status = line.addCommand("status", "Show each daemon's state, generation in force, engines and claim shards.")
	line.addServiceFlags(line.status)
	line.addJSONFlag(line.status)

	line.dev = line.addCommand("dev", "Run daemons with small stand-ins for the services that they depend on.")
	line.dev.String(&o.listen, "", "listen", "IP address and port for callers of the first daemon; a free port on 127.0.0.1 if not set.")
	line.dev.Bool(&o.quiet, "", "quiet", "Print the entries' addresses only.")

	line.dev.String(&o.standInsDir, "", "stand-ins", "Start the stand-ins only, and write the settings of three daemons to this directory.")

	line.addReplayCommand(&o.replay)
	line.addTraceCommand(&o.replay)

	line.version = line.addCommand("version", "Print the version.")
	line.err = p.ParseArgs(args)
	o.endpoints = splitCommas(o.endpoints)
	o.replay.entries = splitCommas(o.replay.entries)
	o.replay.versions = splitCommas(o.replay.versions)
	return line
}

func (l *commandLine) addReplayCommand(o *replayOptions) {
	l.replay = l.addCommand("replay", "Send a trace of calls to a running system and compare the outcomes with those in the trace.")
	l.replay.AddPositionalValue(&o.file, "FILE", 1, true, "Trace as JSON lines.")
	l.replay.StringSlice(&o.entries, "", "entries", "host:port addresses of entries, separated by commas (required).")
	l.replay.String(&o.token, "", "token", "Bearer token of all calls (required).")
	l.replay.String(&o.keyHeader, "", "key-header", "Header that carries idempotency keys.")
	l.replay.Float64(&o.speed, "", "speed", "Speed factor; the times of the trace are divided by it.")
	l.addJSONFlag(l.replay)
}

func (l *commandLine) addTraceCommand(o *replayOptions) {
	l.trace = l.addCommand("trace", "Write a generated trace to standard output; the same flags give the same trace.")
	l.trace.UInt64(&o.seed, "", "seed", "Seed of the random number generator.")
	l.trace.Int(&o.calls, "", "calls", "Number of calls.")
	l.trace.Duration(&o.duration, "", "duration", "Time from the first to the last call.")
	l.trace.Int(&o.adapters, "", "adapters", "Number of adapters.")
	l.trace.String(&o.adapterPattern, "", "adapter-pattern", "Format of adapter names with a verb for the number, as in Go's fmt package.")
	l.trace.Float64(&o.skew, "", "skew", "Exponent of the Zipf distribution over adapters, above 1.")
	l.trace.Float64(&o.keyedShare, "", "keyed-share", "Share of keyed plain calls, from 0 to 1.")
	l.trace.String(&o.keyedPath, "", "keyed-path", "Path of keyed calls.")
	l.trace.Int(&o.maxTokens, "", "max-tokens", "Maximum number of tokens of one model call.")
}

func (l *commandLine) addCommand(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	command.AdditionalHelpAppend = exitCodesHelp
	l.parser.AttachSubcommand(command, 1)
	return command
}

func (l *commandLine) addDirectory(command *flaggy.Subcommand) {
	command.AddPositionalValue(&l.options.dir, "DIR", 1, true, "Directory of TOML files.")
}

func (l *commandLine) addServiceFlags(command *flaggy.Subcommand) {
	command.StringSlice(&l.options.endpoints, "", "endpoints", "Base URLs of the key-value service, separated by commas.")
	command.String(&l.options.settings, "", "settings", "TOML file with a daemon's settings; supplies the endpoints unless --endpoints is set.")
}

func (l *commandLine) addJSONFlag(command *flaggy.Subcommand) {
	command.Bool(&l.options.json, "", "json", "Print the result as JSON.")
}
