package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/settings"
	"github.com/barleylift/barleylift/internal/status"
	"golang.org/x/sync/errgroup"
)

const (
	// memberPrefix is followed by a daemon's name in the key-value service.
	memberPrefix = "members/"
	// commandTimeout bounds a command that talks to the key-value service,
	// beside the time of --wait.
	commandTimeout = 60 * time.Second
	// statusTimeout bounds one question to a daemon.
	statusTimeout = 3 * time.Second
	// statusParallel is the number of daemons that are asked at once.
	statusParallel = 32
	// statusMaxBytes bounds a daemon's answer.
	statusMaxBytes = 1 << 20
	// witnessCount is the number of daemons that apply asks for their generation.
	witnessCount = 16
)

// openKV connects to the key-value service that the options name.
func (c commands) openKV() (infra.KV, error) {
	config := infra.EtcdConfig{Endpoints: c.options.endpoints}
	if c.options.settings != "" {
		s, err := settings.Load(c.options.settings)
		if err != nil {
			return nil, err
		}
		config.Timeout = s.KeyValue.Timeout
		if len(config.Endpoints) == 0 {
			config.Endpoints = s.KeyValue.Endpoints
		}
	}
	return infra.NewEtcdKV(config)
}

// splitCommas divides each text at its commas. The flag may also be repeated.
func splitCommas(texts []string) []string {
	var parts []string
	for _, text := range texts {
		parts = append(parts, strings.Split(text, ",")...)
	}
	return parts
}

// namesService reports whether the options say where the service is.
func (c commands) namesService() bool {
	return len(c.options.endpoints) > 0 || c.options.settings != ""
}

// readMembers returns the daemons that the key-value service knows, in name order.
func readMembers(ctx context.Context, kv infra.KV) ([]ownership.Member, error) {
	result, err := kv.Range(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	var members []ownership.Member
	for _, entry := range result.Entries {
		var m ownership.Member
		if err := json.Unmarshal(entry.Value, &m); err != nil {
			return nil, fmt.Errorf("member %s: %w", entry.Key, err)
		}
		members = append(members, m)
	}
	return members, nil
}

// report is what one daemon answered, or why it did not.
type report struct {
	Member ownership.Member `json:"member"`
	// Daemon is nil when the daemon did not answer.
	Daemon *status.Daemon `json:"daemon"`
	Error  string         `json:"error,omitempty"`
}

// askAll asks daemons for their status, several at a time.
func askAll(ctx context.Context, members []ownership.Member) []report {
	reports := make([]report, len(members))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, m := range members {
		group.Go(func() error {
			reports[i] = askOne(ctx, m)
			return nil
		})
	}
	// No function returns an error: each one is part of its report.
	_ = group.Wait()
	return reports
}

func askOne(ctx context.Context, m ownership.Member) report {
	daemon, err := fetchStatus(ctx, m.EntryAddress)
	if err != nil {
		return report{Member: m, Error: err.Error()}
	}
	return report{Member: m, Daemon: daemon}
}

// fetchStatus asks a daemon over HTTP. A daemon with a certificate for callers
// refuses that, and is asked over HTTPS.
func fetchStatus(ctx context.Context, address string) (*status.Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	daemon, err := fetchURL(ctx, "http://"+address+status.Path)
	var refused *statusError
	if errors.As(err, &refused) && refused.code == http.StatusBadRequest {
		return fetchURL(ctx, "https://"+address+status.Path)
	}
	return daemon, err
}

// statusError is an HTTP status other than 200.
type statusError struct {
	code int
}

// Error names the status.
func (e *statusError) Error() string {
	return fmt.Sprintf("HTTP status %d", e.code)
}

func fetchURL(ctx context.Context, url string) (*status.Daemon, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &statusError{code: response.StatusCode}
	}
	var daemon status.Daemon
	if err := json.NewDecoder(io.LimitReader(response.Body, statusMaxBytes)).Decode(&daemon); err != nil {
		return nil, err
	}
	return &daemon, nil
}

// noWitnessError means that daemons are announced but none of those asked answered.
type noWitnessError struct {
	asked int
}

// Error tells what to do.
func (e *noWitnessError) Error() string {
	return fmt.Sprintf("none of %d daemons answered, so it is not known whether the key-value service was restored from an old state; --blind applies all the same", e.asked)
}

// witness asks some daemons for the highest generation in force. Daemons
// spread a generation among themselves within seconds, so that a few know it.
func witness(kv infra.KV) func(context.Context) (uint64, error) {
	return func(ctx context.Context) (uint64, error) {
		members, err := readMembers(ctx, kv)
		if err != nil || len(members) == 0 {
			return 0, err
		}
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:min(len(members), witnessCount)]
		return highest(askAll(ctx, members))
	}
}

func highest(reports []report) (uint64, error) {
	answered := false
	generation := uint64(0)
	for _, r := range reports {
		if r.Daemon != nil {
			answered = true
			generation = max(generation, r.Daemon.Generation)
		}
	}
	if !answered {
		return 0, &noWitnessError{asked: len(reports)}
	}
	return generation, nil
}
