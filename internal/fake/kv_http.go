package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

// progressInterval is the time between progress notifications on a watch.
const progressInterval = 3 * time.Second

// maxRequestBytes bounds a request in its base64 encoding.
const maxRequestBytes = 4 << 20

// Handler serves the published etcd v3 JSON gateway over the service.
func (s *KV) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcdjson.PathRange, serveUnary(s.serveRange))
	mux.HandleFunc("POST "+etcdjson.PathTxn, serveUnary(s.serveTxn))
	mux.HandleFunc("POST "+etcdjson.PathGrant, serveUnary(s.serveGrant))
	mux.HandleFunc("POST "+etcdjson.PathKeepAlive, serveUnary(s.serveKeepAlive))
	mux.HandleFunc("POST "+etcdjson.PathRevoke, serveUnary(s.serveRevoke))
	mux.HandleFunc("POST "+etcdjson.PathWatch, s.serveWatch)
	return mux
}

func serveUnary[Q, R any](serve func(context.Context, Q) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request)
		if err != nil {
			writeError(w, &infra.Error{Kind: infra.Refused, Err: err})
			return
		}
		response, err := serve(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

// writeError responds as the gateway does; a lost response closes the connection.
func writeError(w http.ResponseWriter, err error) {
	status, details := http.StatusServiceUnavailable, etcdjson.Error{Code: etcdjson.CodeUnavailable, Message: "etcdserver: no leader"}
	var e *infra.Error
	if errors.As(err, &e) {
		switch {
		case e.Kind == infra.Ambiguous:
			closeConnection(w)
			return
		case errors.Is(err, errRate):
			status, details = http.StatusTooManyRequests, etcdjson.Error{Code: etcdjson.CodeResourceExhausted}
		case e.Kind == infra.LeaseNotFound:
			status, details = http.StatusNotFound, etcdjson.Error{Code: etcdjson.CodeNotFound}
		case e.Kind == infra.Refused:
			status, details = http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument}
		}
		if details.Message == "" {
			details.Message = "etcdserver: " + e.Err.Error()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(details)
}

func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func (s *KV) serveRange(ctx context.Context, q etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	key, prefix, err := scopeOf(q.Key, q.RangeEnd)
	if err != nil {
		return etcdjson.RangeResponse{}, err
	}
	if prefix {
		result, err := s.Range(ctx, key)
		return etcdjson.RangeResponse{Header: etcdjson.Header{Revision: result.Revision}, KVs: kvsOf(result.Entries)}, err
	}
	e, err := s.Get(ctx, key)
	response := etcdjson.RangeResponse{Header: s.header()}
	if e.Exists() {
		response.KVs = kvsOf([]infra.Entry{e})
	}
	return response, err
}

func (s *KV) header() etcdjson.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return etcdjson.Header{Revision: s.revision}
}

func (s *KV) serveTxn(ctx context.Context, q etcdjson.TxnRequest) (etcdjson.TxnResponse, error) {
	txn, err := txnOf(q)
	if err != nil {
		return etcdjson.TxnResponse{}, err
	}
	result, err := s.Txn(ctx, txn)
	response := etcdjson.TxnResponse{Header: etcdjson.Header{Revision: result.Revision}, Succeeded: result.Succeeded}
	for _, read := range result.Reads {
		op := etcdjson.ResponseOp{}
		if read != nil {
			op.Range = &etcdjson.RangeResponse{KVs: kvsOf(read)}
		}
		response.Responses = append(response.Responses, op)
	}
	return response, err
}

func (s *KV) serveGrant(ctx context.Context, q etcdjson.LeaseRequest) (etcdjson.LeaseResponse, error) {
	id, err := s.Grant(ctx, time.Duration(q.TTL)*time.Second)
	return etcdjson.LeaseResponse{Header: s.header(), ID: int64(id), TTL: q.TTL}, err
}

func (s *KV) serveKeepAlive(ctx context.Context, q etcdjson.LeaseRequest) (etcdjson.LeaseStream, error) {
	ttl, err := s.KeepAlive(ctx, infra.LeaseID(q.ID))
	var e *infra.Error
	if errors.As(err, &e) && e.Kind == infra.LeaseNotFound {
		err = nil
	}
	response := etcdjson.LeaseResponse{Header: s.header(), ID: q.ID, TTL: int64(ttl / time.Second)}
	return etcdjson.LeaseStream{Result: response}, err
}

func (s *KV) serveRevoke(ctx context.Context, q etcdjson.LeaseRequest) (etcdjson.LeaseResponse, error) {
	return etcdjson.LeaseResponse{Header: s.header()}, s.Revoke(ctx, infra.LeaseID(q.ID))
}

func (s *KV) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q etcdjson.WatchRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q)
	if err != nil || q.Create == nil {
		writeError(w, &infra.Error{Kind: infra.Refused, Err: errBadRequest})
		return
	}
	prefix, _, err := scopeOf(q.Create.Key, q.Create.RangeEnd)
	if err != nil {
		writeError(w, err)
		return
	}
	stream := watchWriter{w: w, controller: http.NewResponseController(w), encoder: json.NewEncoder(w)}
	batches, err := s.Watch(r.Context(), prefix, q.Create.StartRevision)
	var e *infra.Error
	if errors.As(err, &e) && e.Kind == infra.Compacted {
		stream.send(etcdjson.WatchResponse{Header: s.header(), Created: true})
		stream.send(etcdjson.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: s.compactedRevision()})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	stream.send(etcdjson.WatchResponse{Header: s.header(), Created: true})
	s.streamWatch(stream, batches)
}

func (s *KV) compactedRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}

// watchWriter writes newline-delimited messages and flushes each.
type watchWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	encoder    *json.Encoder
}

func (w watchWriter) send(response etcdjson.WatchResponse) {
	_ = w.encoder.Encode(etcdjson.WatchStream{Result: response})
	_ = w.controller.Flush()
}

// streamWatch sends batches and progress notifications until the watch ends.
func (s *KV) streamWatch(stream watchWriter, batches <-chan infra.WatchBatch) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case batch, ok := <-batches:
			if !ok || batch.Err != nil {
				closeConnection(stream.w)
				return
			}
			header := etcdjson.Header{Revision: batch.Revision}
			stream.send(etcdjson.WatchResponse{Header: header, Events: eventsOf(batch.Events)})
		case <-ticker.C:
			if !s.watchesStalled() {
				stream.send(etcdjson.WatchResponse{Header: s.header()})
			}
		}
	}
}

func (s *KV) watchesStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.watchesStalled
}
