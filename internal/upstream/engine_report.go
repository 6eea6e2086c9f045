package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// maxReportBytes limits a report and a model list.
const maxReportBytes = 4 << 20

// EngineReport is an engine's load report, with its requests and the adapters
// that it has loaded.
type EngineReport struct {
	BootID   string          `json:"boot_id"`
	Sequence uint64          `json:"sequence"`
	Requests []ActiveRequest `json:"requests"`
	Resident []string        `json:"resident"`
	// Running and Waiting count calls; MaxRunning is the engine's batch size.
	Running    int `json:"running"`
	Waiting    int `json:"waiting"`
	MaxRunning int `json:"max_running"`
	// AgeMillis is the report's age when it was sent; nil if the engine does not
	// state it.
	AgeMillis *int64 `json:"age_ms"`
	// CreatedNotBefore is the earliest time, by this daemon's clock, at which the
	// report can have been created: the time of the request minus the age, or
	// minus the engine's maximum report lag if it states no age.
	CreatedNotBefore time.Time `json:"-"`
}

// ActiveRequest is a request that an engine runs or has in its batch queue.
type ActiveRequest struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// RequestState is the state of one request as reported by an engine.
type RequestState struct {
	BootID  string `json:"boot_id"`
	Running bool   `json:"running"`
	// Produced is the number of generated tokens; nil if the engine does not state
	// it.
	Produced *int `json:"produced"`
}

// Report reads the engine's load report.
func (c *EngineClient) Report(ctx context.Context) (EngineReport, error) {
	sent := time.Now()
	var report EngineReport
	if err := c.getJSON(ctx, "/v1/report", &report); err != nil {
		return EngineReport{}, err
	}
	lag := c.config.Engine.MaxReportLag
	if report.AgeMillis != nil {
		lag = time.Duration(*report.AgeMillis) * time.Millisecond
	}
	report.CreatedNotBefore = sent.Add(-lag)
	return report, nil
}

// LookUp returns, over a new connection, the state of a request at the engine.
// The zero value means that the engine does not know the request.
func (c *EngineClient) LookUp(ctx context.Context, attempt string) (RequestState, error) {
	var state RequestState
	err := c.getJSON(ctx, "/v1/requests/"+attempt, &state)
	if errors.Is(err, errNotFound) {
		return RequestState{}, nil
	}
	return state, err
}

// Models returns the adapters that the engine currently serves, without its
// base model.
func (c *EngineClient) Models(ctx context.Context) ([]call.AdapterRef, error) {
	var models struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := c.getJSON(ctx, "/v1/models", &models); err != nil {
		return nil, err
	}
	refs := make([]call.AdapterRef, 0, len(models.Data))
	for _, model := range models.Data {
		if ref, err := call.ParseAdapterRef(model.ID); err == nil {
			refs = append(refs, ref)
		}
	}
	return refs, nil
}

// errNotFound is returned if the engine responded with 404.
var errNotFound = errors.New("not found")

// getJSON reads a JSON value with a GET request on a new connection.
func (c *EngineClient) getJSON(ctx context.Context, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	response, err := c.config.Probe.Do(request)
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return fmt.Errorf("GET %s: %w", path, errNotFound)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(value); err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	return nil
}
