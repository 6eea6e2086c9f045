package replay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// Config configures a replay.
type Config struct {
	// Entries are the initial host:port addresses; the system lists the others.
	Entries []string
	// Token is the bearer token of all calls.
	Token string
	// KeyHeader carries the idempotency key of keyed calls.
	KeyHeader string
	// Speed divides the times of the trace; 0 means 1.
	Speed float64
	// OnEvent performs an event of the trace; events are ignored if it is nil.
	OnEvent func(Item)
}

// Run replays a trace and returns the report. It returns when every call has
// its final outcome or ctx is done.
func Run(ctx context.Context, config Config, items []Item) (*Report, error) {
	switch {
	case len(config.Entries) == 0:
		return nil, errors.New("replay: at least one entry is required")
	case slices.ContainsFunc(config.Entries, notHostPort):
		return nil, errors.New("replay: entries must be host:port addresses")
	case config.Speed < 0:
		return nil, errors.New("replay: speed must be positive")
	case config.Speed == 0:
		config.Speed = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: len(items)}
	defer transport.CloseIdleConnections()
	c := &caller{
		client:    &http.Client{Transport: transport},
		token:     config.Token,
		keyHeader: config.KeyHeader,
		entries:   config.Entries,
	}
	report := newReport()
	startedAt := time.Now()
	var group sync.WaitGroup
	for number, item := range items {
		offset := time.Duration(float64(item.Offset()) / config.Speed)
		if !clock.Sleep(ctx, time.Until(startedAt.Add(offset))) {
			break
		}
		group.Go(func() { replayItem(ctx, config, c, report, number, item) })
	}
	group.Wait()
	report.finish(time.Since(startedAt))
	return report, ctx.Err()
}

func notHostPort(entry string) bool {
	_, port, err := net.SplitHostPort(entry)
	return err != nil || port == ""
}

func replayItem(ctx context.Context, config Config, c *caller, report *Report, number int, item Item) {
	if item.Kind == KindEvent {
		if config.OnEvent != nil {
			config.OnEvent(item)
		}
		return
	}
	result, attempts := c.perform(ctx, item)
	report.add(number, item, result, attempts)
}

// describeMismatch says how a call's result differs from the outcomes that the
// trace allows; it is empty if it does not.
func describeMismatch(number int, item Item, result attemptResult) string {
	name := item.Model
	if item.Kind == KindKeyed {
		name = item.Key
	}
	switch {
	case result.violation != "":
		return fmt.Sprintf("line %d, %s %s: %s", number+1, item.Kind, name, result.violation)
	case result.err != nil:
		return fmt.Sprintf("line %d, %s %s: %v, want %v", number+1, item.Kind, name, result.err, item.Outcomes)
	case result.missingOutcome():
		return fmt.Sprintf("line %d, %s %s: status %d, %q, want %v", number+1, item.Kind, name, result.status, result.body, item.Outcomes)
	case !slices.Contains(item.Outcomes, result.outcome):
		return fmt.Sprintf("line %d, %s %s: %q, want %v", number+1, item.Kind, name, result.outcome, item.Outcomes)
	}
	return ""
}

// sortedQuantile returns the q-quantile of sorted values by rank, without
// interpolation, or 0 if there are no values.
func sortedQuantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
