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

// maxReport bounds a report and a model list in bytes.
const maxReport = 4 << 20

// EngineReport is what an engine last told about itself.
type EngineReport struct {
	BootID   string          `json:"boot_id"`
	Sequence uint64          `json:"sequence"`
	Requests []ActiveRequest `json:"requests"`
	Resident []string        `json:"resident"`
	// Running and Waiting count calls; MaxRunning is the engine's batch size.
	Running    int `json:"running"`
	Waiting    int `json:"waiting"`
	MaxRunning int `json:"max_running"`
	// AgeMillis is the report's age when it was sent; absent if the engine does not tell.
	AgeMillis *int64 `json:"age_ms"`
	// CreatedNotBefore is the earliest moment, by this daemon's clock, at which the
	// report can have been made: the sending of the request less the age, or
	// less the engine's greatest report lag where it tells no age.
	CreatedNotBefore time.Time `json:"-"`
}

// ActiveRequest is one request that an engine runs or holds in its batch queue.
type ActiveRequest struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// RequestState is what an engine tells about one request.
type RequestState struct {
	BootID  string `json:"boot_id"`
	Running bool   `json:"running"`
	// Produced is the number of generated tokens; nil if the engine does not tell.
	Produced *int `json:"produced"`
}

// Report reads the engine's load report.
func (c *EngineClient) Report(ctx context.Context) (EngineReport, error) {
	sent := time.Now()
	var report EngineReport
	if err := c.read(ctx, "/v1/report", &report); err != nil {
		return EngineReport{}, err
	}
	lag := c.config.Engine.MaxReportLag
	if report.AgeMillis != nil {
		lag = time.Duration(*report.AgeMillis) * time.Millisecond
	}
	report.CreatedNotBefore = sent.Add(-lag)
	return report, nil
}

// LookUp asks, on a new connection, whether the engine runs a request.
func (c *EngineClient) LookUp(ctx context.Context, attempt string) (RequestState, error) {
	var state RequestState
	err := c.read(ctx, "/v1/requests/"+attempt, &state)
	if errors.Is(err, errNotFound) {
		return RequestState{}, nil
	}
	return state, err
}

// Models lists the adapters that the engine serves now, without its base model.
func (c *EngineClient) Models(ctx context.Context) ([]call.AdapterRef, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := c.read(ctx, "/v1/models", &list); err != nil {
		return nil, err
	}
	refs := make([]call.AdapterRef, 0, len(list.Data))
	for _, model := range list.Data {
		if ref, err := call.ParseAdapterRef(model.ID); err == nil {
			refs = append(refs, ref)
		}
	}
	return refs, nil
}

// errNotFound tells that the engine answered 404.
var errNotFound = errors.New("not found")

// read gets a JSON value on a new connection.
func (c *EngineClient) read(ctx context.Context, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(value); err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	return nil
}
