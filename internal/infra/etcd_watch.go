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
	errSilent    = errors.New("watch was silent for longer than its bound")
	errNoOpening = errors.New("watch did not open in time")
)

// watchStream reads the messages of one watch. The timer cancels the request
// with a cause when no message comes in time.
type watchStream struct {
	body    io.ReadCloser
	limited *io.LimitedReader
	decoder *json.Decoder
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
}

// Watch implements KV. A watch that is silent for longer than the bound is
// broken; progress notifications keep an idle one from being silent.
func (kv *EtcdKV) Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error) {
	var failure *Error
	for range kv.endpoints {
		turn := kv.preferred.Load()
		var stream *watchStream
		stream, failure = kv.openWatch(ctx, kv.endpoint(turn), prefix, from)
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
		kv.preferred.CompareAndSwap(turn, turn+1)
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
	timer := time.AfterFunc(kv.timeout, func() { cancel(errNoOpening) })
	reply, failure := kv.send(ctx, opWatch, endpoint, body)
	if failure != nil {
		timer.Stop()
		cancel(nil)
		return nil, failure
	}
	stream := newWatchStream(ctx, cancel, timer, reply, kv.silence)
	if err := stream.awaitCreated(); err != nil {
		stream.close()
		return nil, err
	}
	return stream, nil
}

func newWatchStream(ctx context.Context, cancel context.CancelCauseFunc, timer *time.Timer, reply *http.Response, silence time.Duration) *watchStream {
	limited := &io.LimitedReader{R: reply.Body, N: maxResponseBytes}
	return &watchStream{
		body:    reply.Body,
		limited: limited,
		decoder: json.NewDecoder(limited),
		ctx:     ctx,
		cancel:  cancel,
		timer:   timer,
		silence: silence,
	}
}

func (s *watchStream) close() {
	s.timer.Stop()
	s.cancel(nil)
	s.body.Close()
}

// awaitCreated reads the message that confirms the watch.
func (s *watchStream) awaitCreated() *Error {
	response, err := s.next()
	if err != nil {
		return err
	}
	if !response.Created {
		return watchError(Refused, errors.New("service did not confirm the watch"))
	}
	s.timer.Stop()
	s.timer = time.AfterFunc(s.silence, func() { s.cancel(errSilent) })
	return nil
}

// next reads one message and restarts the bound on silence.
func (s *watchStream) next() (etcdjson.WatchResponse, *Error) {
	s.limited.N = maxResponseBytes
	var message etcdjson.WatchStream
	if err := s.decoder.Decode(&message); err != nil {
		if cause := context.Cause(s.ctx); cause != nil {
			err = cause
		}
		return etcdjson.WatchResponse{}, watchError(Unavailable, err)
	}
	s.timer.Reset(s.silence)
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

// run delivers batches until the watch breaks or ctx ends. The bound on
// silence does not run while the receiver is slow.
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
		s.timer.Reset(s.silence)
	}
}

func eventsOf(events []etcdjson.Event) []WatchEvent {
	converted := make([]WatchEvent, len(events))
	for i, e := range events {
		converted[i] = WatchEvent{Deleted: e.Type == etcdjson.EventDelete, Entry: entryOf(e.KV)}
	}
	return converted
}
