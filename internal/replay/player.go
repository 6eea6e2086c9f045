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
	// Entries are host:port addresses to begin with; the system names others.
	Entries []string
	// Token is the bearer token of all calls.
	Token string
	// KeyHeader carries the idempotency key of keyed calls.
	KeyHeader string
	// Speed divides the times of the trace; 0 means 1.
	Speed float64
	// OnEvent carries out an event of the trace; nil ignores events.
	OnEvent func(Item)
}

// Run replays a trace and returns the report. It ends when every call has its
// final outcome or ctx ends.
func Run(ctx context.Context, config Config, items []Item) (*Report, error) {
	switch {
	case len(config.Entries) == 0:
		return nil, errors.New("replay: at least one entry is required")
	case slices.ContainsFunc(config.Entries, notAddress):
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
	began := time.Now()
	var group sync.WaitGroup
	for number, item := range items {
		due := time.Duration(float64(item.Offset()) / config.Speed)
		if !clock.Sleep(ctx, time.Until(began.Add(due))) {
			break
		}
		group.Go(func() { play(ctx, config, c, report, number, item) })
	}
	group.Wait()
	report.finish(time.Since(began))
	return report, ctx.Err()
}

func notAddress(entry string) bool {
	_, port, err := net.SplitHostPort(entry)
	return err != nil || port == ""
}

func play(ctx context.Context, config Config, c *caller, report *Report, number int, item Item) {
	if item.Kind == KindEvent {
		if config.OnEvent != nil {
			config.OnEvent(item)
		}
		return
	}
	t, attempts := c.perform(ctx, item)
	report.add(number, item, t, attempts)
}

// mismatch tells how a call's end differs from what the trace states.
func mismatch(number int, item Item, t told) string {
	name := item.Model
	if item.Kind == KindKeyed {
		name = item.Key
	}
	switch {
	case t.fault != "":
		return fmt.Sprintf("line %d, %s %s: %s", number+1, item.Kind, name, t.fault)
	case t.err != nil:
		return fmt.Sprintf("line %d, %s %s: %v, want %v", number+1, item.Kind, name, t.err, item.Outcomes)
	case t.unstated():
		return fmt.Sprintf("line %d, %s %s: status %d, %q, want %v", number+1, item.Kind, name, t.status, t.body, item.Outcomes)
	case !slices.Contains(item.Outcomes, t.outcome):
		return fmt.Sprintf("line %d, %s %s: %q, want %v", number+1, item.Kind, name, t.outcome, item.Outcomes)
	}
	return ""
}

// sortedQuantile returns the q-quantile of sorted values by the nearest rank.
func sortedQuantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
