package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

var (
	errIdleTimeout = errors.New("watch received no message within its idle timeout")
	errOpenTimeout = errors.New("watch did not open in time")
)

// watchStream reads the messages of one watch. The timer cancels the request
// with errOpenTimeout or errIdleTimeout when no message arrives in time.
type watchStream struct {
	body        io.ReadCloser
	limited     *io.LimitedReader
	decoder     *json.Decoder
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	idleTimeout time.Duration
}

// Watch implements KV. A watch breaks when it receives no message within the
// idle timeout; progress notifications keep a watch without changes open.
func (kv *EtcdKV) Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error) {
	var failure *Error
	for range kv.endpoints {
		failovers := kv.failovers.Load()
		var stream *watchStream
		stream, failure = kv.openWatch(ctx, kv.endpoint(failovers), prefix, from)
		if failure == nil {
			kv.observe("watch", "ok")
			out := make(chan WatchBatch)
			go stream.run(ctx, out)
			return out, nil
		}
		kv.observe("watch", failure.Kind.String())
		if ctx.Err() != nil || !endpointAtFault(failure) {
			return nil, failure
		}
		kv.failovers.CompareAndSwap(failovers, failovers+1)
	}
	return nil, failure
}

func (kv *EtcdKV) openWatch(ctx context.Context, endpoint, prefix string, from int64) (*watchStream, *Error) {
	scope := rangeOf(prefix)
	create := etcdjson.WatchCreate{Key: scope.Key, RangeEnd: scope.RangeEnd, StartRevision: from, ProgressNotify: true}
	body, err := json.Marshal(etcdjson.WatchRequest{Create: &create})
	if err != nil {
		return nil, watchError(Refused, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(kv.timeout, func() { cancel(errOpenTimeout) })
	response, failure := kv.send(ctx, opWatch, endpoint, body)
	if failure != nil {
		timer.Stop()
		cancel(nil)
		return nil, failure
	}
	stream := newWatchStream(ctx, cancel, timer, response, kv.watchIdleTimeout)
	if err := stream.awaitCreated(); err != nil {
		stream.close()
		return nil, err
	}
	return stream, nil
}

func newWatchStream(ctx context.Context, cancel context.CancelCauseFunc, timer *time.Timer, response *http.Response, idleTimeout time.Duration) *watchStream {
	limited := &io.LimitedReader{R: response.Body, N: maxResponseBytes}
	return &watchStream{
		body:        response.Body,
		limited:     limited,
		decoder:     json.NewDecoder(limited),
		ctx:         ctx,
		cancel:      cancel,
		timer:       timer,
		idleTimeout: idleTimeout,
	}
}

func (s *watchStream) close() {
	s.timer.Stop()
	s.cancel(nil)
	s.body.Close()
}

// awaitCreated reads the message that confirms the watch and starts the idle timeout.
func (s *watchStream) awaitCreated() *Error {
	response, err := s.next()
	if err != nil {
		return err
	}
	if !response.Created {
		return watchError(Refused, errors.New("service did not confirm the watch"))
	}
	s.timer.Stop()
	s.timer = time.AfterFunc(s.idleTimeout, func() { s.cancel(errIdleTimeout) })
	return nil
}

// next reads one message and restarts the idle timeout.
func (s *watchStream) next() (etcdjson.WatchResponse, *Error) {
	s.limited.N = maxResponseBytes
	var message etcdjson.WatchStream
	if err := s.decoder.Decode(&message); err != nil {
		if cause := context.Cause(s.ctx); cause != nil {
			err = cause
		}
		return etcdjson.WatchResponse{}, watchError(Unavailable, err)
	}
	s.timer.Reset(s.idleTimeout)
	if message.Error != nil {
		return etcdjson.WatchResponse{}, watchError(kindOf(http.StatusOK, *message.Error, false), errors.New(message.Error.Message))
	}
	if message.Result.CompactRevision != 0 {
		return etcdjson.WatchResponse{}, watchError(Compacted, fmt.Errorf("compacted at revision %d", message.Result.CompactRevision))
	}
	if message.Result.Canceled {
		return etcdjson.WatchResponse{}, watchError(Unavailable, fmt.Errorf("watch cancelled: %s", message.Result.CancelReason))
	}
	return message.Result, nil
}

func watchError(kind ErrorKind, err error) *Error {
	return &Error{Op: "watch", Kind: kind, Err: err}
}

// run delivers batches until the watch breaks or ctx ends. The idle timeout is
// paused while a batch waits for the receiver.
func (s *watchStream) run(ctx context.Context, out chan<- WatchBatch) {
	defer close(out)
	defer s.close()
	for {
		response, failure := s.next()
		batch := WatchBatch{Events: eventsOf(response.Events), Revision: response.Header.Revision}
		if failure != nil {
			batch = WatchBatch{Err: failure}
		} else if len(batch.Events) == 0 {
			continue
		}
		s.timer.Stop()
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
		if failure != nil {
			return
		}
		s.timer.Reset(s.idleTimeout)
	}
}

func eventsOf(events []etcdjson.Event) []WatchEvent {
	converted := make([]WatchEvent, len(events))
	for i, e := range events {
		converted[i] = WatchEvent{Deleted: e.Type == etcdjson.EventDelete, Entry: entryOf(e.KV)}
	}
	return converted
}
