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
	// memberPrefix is the prefix of the daemons' keys in the key-value service; a
	// daemon's name follows it.
	memberPrefix = "members/"
	// commandTimeout bounds a command that calls the key-value service; apply adds
	// the time of --wait.
	commandTimeout = 60 * time.Second
	// statusTimeout bounds the status request to one daemon.
	statusTimeout = 3 * time.Second
	// maxStatusRequests is the maximum number of concurrent status requests.
	maxStatusRequests = 32
	// maxStatusBytes bounds a daemon's response.
	maxStatusBytes = 1 << 20
	// maxGenerationQueries is the maximum number of daemons whose generation apply
	// queries.
	maxGenerationQueries = 16
)

// openKV returns a client of the key-value service given by --endpoints or, if
// absent, by the settings file.
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

// splitCommas splits each value of a repeatable flag at its commas.
func splitCommas(values []string) []string {
	var parts []string
	for _, value := range values {
		parts = append(parts, strings.Split(value, ",")...)
	}
	return parts
}

// hasService reports whether the options specify the key-value service.
func (c commands) hasService() bool {
	return len(c.options.endpoints) > 0 || c.options.settings != ""
}

// readMembers returns the daemons registered in the key-value service, in name
// order.
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

// daemonReport holds the status of one daemon, or the reason why it is missing.
type daemonReport struct {
	Member ownership.Member `json:"member"`
	// Daemon is nil if the status request failed.
	Daemon *status.Daemon `json:"daemon"`
	Error  string         `json:"error,omitempty"`
}

// fetchReports fetches the status of the daemons concurrently.
func fetchReports(ctx context.Context, members []ownership.Member) []daemonReport {
	reports := make([]daemonReport, len(members))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i, m := range members {
		group.Go(func() error {
			reports[i] = fetchReport(ctx, m)
			return nil
		})
	}
	// The functions return no error: errors are part of the reports.
	_ = group.Wait()
	return reports
}

func fetchReport(ctx context.Context, m ownership.Member) daemonReport {
	daemon, err := fetchStatus(ctx, m.EntryAddress)
	if err != nil {
		return daemonReport{Member: m, Error: err.Error()}
	}
	return daemonReport{Member: m, Daemon: daemon}
}

// fetchStatus requests a daemon's status over HTTP. A daemon with a certificate
// for callers responds with 400 to that and is queried over HTTPS instead.
func fetchStatus(ctx context.Context, address string) (*status.Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	daemon, err := fetchURL(ctx, "http://"+address+status.Path)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.code == http.StatusBadRequest {
		return fetchURL(ctx, "https://"+address+status.Path)
	}
	return daemon, err
}

// statusError is an HTTP status other than 200.
type statusError struct {
	code int
}

// Error returns a message with the status code.
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&daemon); err != nil {
		return nil, err
	}
	return &daemon, nil
}

// noStatusError means that daemons are registered, but every status request failed.
type noStatusError struct {
	queried int
}

// Error describes the failure and how to proceed without the check.
func (e *noStatusError) Error() string {
	return fmt.Sprintf("none of %d daemons answered, so it is unknown whether the key-value service was restored from an old state; --blind applies without this check", e.queried)
}

// highestInForce returns a function that queries a random sample of the daemons
// for the highest generation in force. Daemons spread a generation among
// themselves within seconds, so a sample suffices.
func highestInForce(kv infra.KV) func(context.Context) (uint64, error) {
	return func(ctx context.Context) (uint64, error) {
		members, err := readMembers(ctx, kv)
		if err != nil || len(members) == 0 {
			return 0, err
		}
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:min(len(members), maxGenerationQueries)]
		return highestGeneration(fetchReports(ctx, members))
	}
}

func highestGeneration(reports []daemonReport) (uint64, error) {
	answered := false
	generation := uint64(0)
	for _, r := range reports {
		if r.Daemon != nil {
			answered = true
			generation = max(generation, r.Daemon.Generation)
		}
	}
	if !answered {
		return 0, &noStatusError{queried: len(reports)}
	}
	return generation, nil
}
