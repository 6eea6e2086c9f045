package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/barleylift/barleylift/internal/replay"
)

// replayOptions holds the options of the replay and trace commands.
type replayOptions struct {
	file      string
	entries   []string
	token     string
	keyHeader string
	speed     float64

	seed           uint64
	calls          int
	duration       time.Duration
	adapters       int
	adapterPattern string
	versions       []string
	skew           float64
	keyedShare     float64
	keyedPath      string
	maxTokens      int
}

func defaultReplayOptions() replayOptions {
	return replayOptions{
		keyHeader:      "Idempotency-Key",
		speed:          1,
		seed:           1,
		calls:          400,
		duration:       10 * time.Second,
		adapters:       40,
		adapterPattern: "summary-%02d",
		versions:       []string{"v1", "v2"},
		skew:           1.2,
		keyedShare:     0.3,
		keyedPath:      "/logbook/kaloor/ticks",
		maxTokens:      40,
	}
}

// replay sends a trace to a running system. It fails if the outcome of a call
// differs from the one in the trace or is missing there.
func (c commands) replay(ctx context.Context) int {
	o := c.options.replay
	if len(o.entries) == 0 || o.token == "" {
		return c.usage("replay: --entries and --token are required")
	}
	file, err := os.Open(o.file)
	if err != nil {
		return c.fail(err)
	}
	defer file.Close()
	items, err := replay.Read(file)
	if err != nil {
		return c.fail(fmt.Errorf("%s: %w", o.file, err))
	}
	report, err := replay.Run(ctx, replay.Config{
		Entries: o.entries, Token: o.token, KeyHeader: o.keyHeader, Speed: o.speed,
	}, items)
	if err != nil {
		return c.fail(err)
	}
	return c.printReport(report)
}

func (c commands) printReport(report *replay.Report) int {
	if c.options.json {
		if err := json.NewEncoder(c.streams.Out).Encode(report); err != nil {
			return c.fail(err)
		}
	} else {
		report.Print(c.streams.Out)
	}
	if len(report.Mismatches)+len(report.MissingOutcomes) > 0 {
		return ExitFailed
	}
	return ExitOK
}

// trace writes a generated trace to standard output.
func (c commands) trace() int {
	o := c.options.replay
	items, err := replay.Generate(replay.GenerateConfig{
		Seed:        o.seed,
		Calls:       o.calls,
		Duration:    o.duration,
		Adapters:    o.adapters,
		Versions:    o.versions,
		Skew:        o.skew,
		KeyedShare:  o.keyedShare,
		KeyedPath:   o.keyedPath,
		MaxTokens:   o.maxTokens,
		AdapterName: func(n int) string { return fmt.Sprintf(o.adapterPattern, n) },
	})
	if err != nil {
		return c.usage("trace: " + err.Error())
	}
	if err := replay.Write(c.streams.Out, items); err != nil {
		return c.fail(err)
	}
	return ExitOK
}
