package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/barleylift/barleylift/internal/call"
)

// OrderStatus is what is known about an order after its reply.
type OrderStatus int

// The statuses of an order.
const (
	// OrderConfirmed means that the engine is in the ordered state.
	OrderConfirmed OrderStatus = iota
	// OrderRefused means that the engine responded with an error.
	OrderRefused
	// OrderFenced means that the engine has seen a newer fencing token.
	OrderFenced
	// OrderNotSent means that the order certainly did not reach the engine.
	OrderNotSent
	// OrderLost means that the reply was lost: the order may yet take effect.
	OrderLost
)

// String returns the name used in logs and metrics.
func (s OrderStatus) String() string {
	switch s {
	case OrderConfirmed:
		return "confirmed"
	case OrderRefused:
		return "refused"
	case OrderFenced:
		return "fenced"
	case OrderNotSent:
		return "not_sent"
	default:
		return "lost"
	}
}

// OrderResult is the result of an order.
type OrderResult struct {
	Status OrderStatus
	// BootID identifies the engine process that replied; empty if not stated.
	BootID  string
	Message string
}

// loraOrder is the request body of the engine's public API for loading and
// unloading an adapter.
type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load orders the engine to load an adapter and waits for its reply.
func (c *EngineClient) Load(ctx context.Context, adapter call.AdapterRef, token int64) OrderResult {
	order := loraOrder{Name: adapter.String(), Path: adapter.Name + "/" + adapter.Version}
	result, _ := c.order(ctx, "/v1/load_lora_adapter", order, token)
	return result
}

// Unload orders the engine to unload an adapter and waits for its reply. An
// adapter that the engine does not have counts as unloaded.
func (c *EngineClient) Unload(ctx context.Context, adapter call.AdapterRef, token int64) OrderResult {
	result, status := c.order(ctx, "/v1/unload_lora_adapter", loraOrder{Name: adapter.String()}, token)
	if status == http.StatusNotFound {
		result.Status = OrderConfirmed
	}
	return result
}

// RaiseFence makes the engine record the fencing token. It orders the unload of
// an adapter name that no configuration can contain, so nothing else changes.
func (c *EngineClient) RaiseFence(ctx context.Context, token int64) OrderResult {
	return c.Unload(ctx, call.AdapterRef{Name: "barleylift-fence", Version: strconv.FormatInt(token, 10)}, token)
}

// order sends one order. It returns the HTTP status, or 0 without a reply.
func (c *EngineClient) order(ctx context.Context, path string, order loraOrder, token int64) (OrderResult, int) {
	body, err := json.Marshal(order)
	if err != nil {
		panic("upstream: marshal order: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.OrderTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := c.newPost(httptrace.WithClientTrace(ctx, trace), path, body, token)
	response, err := c.config.Probe.Do(request)
	if err != nil {
		status := OrderNotSent
		if connected.Load() {
			status = OrderLost
		}
		return OrderResult{Status: status, Message: err.Error()}, 0
	}
	defer func() { _ = response.Body.Close() }()
	result := OrderResult{BootID: response.Header.Get(HeaderBootID), Message: readMessage(response.Body)}
	switch response.StatusCode {
	case http.StatusOK:
		result.Status = OrderConfirmed
	case http.StatusConflict:
		result.Status = OrderFenced
	default:
		result.Status = OrderRefused
	}
	return result, response.StatusCode
}

// newPost builds a POST request whose body net/http cannot send twice.
func (c *EngineClient) newPost(ctx context.Context, path string, body []byte, token int64) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, nonRewindableReader{bytes.NewReader(body)})
	if err != nil {
		panic("upstream: engine URL was checked before: " + err.Error())
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	setToken(request.Header, token)
	return request
}

// Cancel cancels a call at the engine. It returns false if the engine does not
// know the call, and an error if the engine's response is not known.
func (c *EngineClient) Cancel(ctx context.Context, attempt string, token int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	request := c.newPost(ctx, "/v1/requests/"+attempt+"/cancel", []byte("{}"), token)
	response, err := c.config.Probe.Do(request)
	if err != nil {
		return false, fmt.Errorf("cancel %s: %w", attempt, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	default:
		return false, fmt.Errorf("cancel %s: status %d", attempt, response.StatusCode)
	}
}
