package infra

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

const (
	// DefaultTimeout bounds one call to the key-value service.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout bounds the time without any message on a watch.
	// It must exceed the interval of the service's progress notifications.
	DefaultWatchIdleTimeout = 12 * time.Second
	// idleConnections is the number of connections kept open for calls.
	idleConnections = 8
	// maxValueBytes is the largest value that the service accepts.
	maxValueBytes = 1 << 20
	// maxResponseBytes bounds one response, and one message of a watch.
	maxResponseBytes = 64 << 20
)

// EtcdConfig configures an EtcdKV.
type EtcdConfig struct {
	// Endpoints are base URLs such as http://10.0.0.2:2379; at least one.
	Endpoints []string
	// Timeout bounds each call and the opening of a watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout bounds the time without a message on a watch; 0 means
	// DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// Client sends the calls; nil means a new client. Its Timeout and
	// CheckRedirect fields are not used.
	Client *http.Client
	// Observe is called after each attempt of a call with its kind and result;
	// may be nil.
	Observe func(kind, result string)
}

// EtcdKV implements KV over the published etcd v3 JSON gateway. It is safe for
// concurrent use.
type EtcdKV struct {
	endpoints        []string
	timeout          time.Duration
	watchIdleTimeout time.Duration
	client           *http.Client
	observe          func(kind, result string)
	// failovers counts the switches to the next endpoint. Modulo the number of
	// endpoints it is the index of the preferred one.
	failovers atomic.Uint64
}

var _ KV = (*EtcdKV)(nil)

// NewEtcdKV returns a client, or an error that names the invalid field.
func NewEtcdKV(config EtcdConfig) (*EtcdKV, error) {
	if len(config.Endpoints) == 0 {
		return nil, errors.New("endpoints: at least one is required")
	}
	endpoints := make([]string, len(config.Endpoints))
	for i, endpoint := range config.Endpoints {
		u, err := url.Parse(endpoint)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("endpoints[%d]: %q is not an HTTP base URL", i, endpoint)
		}
		endpoints[i] = strings.TrimSuffix(endpoint, "/")
	}
	if config.Timeout < 0 {
		return nil, errors.New("timeout: must not be negative")
	}
	if config.WatchIdleTimeout < 0 {
		return nil, errors.New("watch idle timeout: must not be negative")
	}
	kv := &EtcdKV{
		endpoints:        endpoints,
		timeout:          config.Timeout,
		watchIdleTimeout: config.WatchIdleTimeout,
		client:           newHTTPClient(config.Client),
		observe:          config.Observe,
	}
	if kv.timeout == 0 {
		kv.timeout = DefaultTimeout
	}
	if kv.watchIdleTimeout == 0 {
		kv.watchIdleTimeout = DefaultWatchIdleTimeout
	}
	if kv.observe == nil {
		kv.observe = func(string, string) {}
	}
	return kv, nil
}

// newHTTPClient returns a copy of the client that follows no redirect, because
// following one would send a transaction twice.
func newHTTPClient(base *http.Client) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = idleConnections
	client := &http.Client{Transport: hop.Transport{Transport: transport}}
	if base != nil {
		client.Transport = base.Transport
		client.Jar = base.Jar
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// Get implements KV.
func (kv *EtcdKV) Get(ctx context.Context, key string) (Entry, error) {
	var response etcdjson.RangeResponse
	request := etcdjson.RangeRequest{Key: []byte(key)}
	if err := kv.call(ctx, opGet, request, &response); err != nil {
		return Entry{}, err
	}
	if len(response.KVs) == 0 {
		return Entry{}, nil
	}
	return entryOf(response.KVs[0]), nil
}

// Range implements KV.
func (kv *EtcdKV) Range(ctx context.Context, prefix string) (RangeResult, error) {
	var response etcdjson.RangeResponse
	request := rangeOf(prefix)
	if err := kv.call(ctx, opRange, request, &response); err != nil {
		return RangeResult{}, err
	}
	return RangeResult{Entries: entriesOf(response.KVs), Revision: response.Header.Revision}, nil
}

// Txn implements KV.
func (kv *EtcdKV) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := checkSizes(txn); err != nil {
		return TxnResult{}, &Error{Op: "txn", Kind: Refused, Err: err}
	}
	var response etcdjson.TxnResponse
	if err := kv.call(ctx, opTxn, txnRequest(txn), &response); err != nil {
		return TxnResult{}, err
	}
	return txnResult(txn, response)
}

func checkSizes(txn Txn) error {
	for _, branch := range [][]Op{txn.Then, txn.Else} {
		for _, op := range branch {
			if len(op.Value) > maxValueBytes {
				return fmt.Errorf("value of %s has %d bytes, which exceeds the limit of %d", op.Key, len(op.Value), maxValueBytes)
			}
		}
	}
	return nil
}

// Grant implements KV. The time to live is rounded up to whole seconds.
func (kv *EtcdKV) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response etcdjson.LeaseResponse
	request := etcdjson.LeaseRequest{TTL: seconds}
	if err := kv.call(ctx, opGrant, request, &response); err != nil {
		return 0, err
	}
	if response.ID == 0 {
		return 0, &Error{Op: "grant", Kind: Ambiguous, Err: errors.New("response has no lease ID")}
	}
	return LeaseID(response.ID), nil
}

// KeepAlive implements KV.
func (kv *EtcdKV) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var response etcdjson.LeaseStream
	request := etcdjson.LeaseRequest{ID: int64(lease)}
	if err := kv.call(ctx, opKeepAlive, request, &response); err != nil {
		return 0, err
	}
	if response.Error != nil {
		return 0, &Error{Op: "keepalive", Kind: kindOf(http.StatusOK, *response.Error, true), Err: errors.New(response.Error.Message)}
	}
	if response.Result.TTL <= 0 {
		return 0, &Error{Op: "keepalive", Kind: LeaseNotFound, Err: errors.New("lease has ended")}
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke implements KV.
func (kv *EtcdKV) Revoke(ctx context.Context, lease LeaseID) error {
	var response etcdjson.LeaseResponse
	request := etcdjson.LeaseRequest{ID: int64(lease)}
	return kv.call(ctx, opRevoke, request, &response)
}
