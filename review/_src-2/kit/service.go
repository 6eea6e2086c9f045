package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is how often an instance writes its entry.
const heartbeat = 1200 * time.Millisecond

// runTime is how long a request runs.
const runTime = 5 * time.Millisecond

// service is a plain service with several instances.
type service struct {
	name  string
	store *store

	mu   sync.Mutex // guards runs
	runs map[string]time.Time
}

func newService(name string, s *store) *service {
	return &service{name: name, store: s, runs: make(map[string]time.Time)}
}

// ranAt returns when a request began to run, if it did.
func (s *service) ranAt(request string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.runs[request]
	return at, ok
}

// start starts an instance, which registers until the process ends.
func (s *service) start(n int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%s-%03d", s.name, n)
	entry := object{
		"service": s.name, "address": listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(listener, s.handler(id)) }()
	go func() {
		time.Sleep(rand.N(heartbeat))
		for {
			s.store.put("servers/"+id, entry)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func (s *service) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Request-Id", request)
		if r.URL.Path == "/health" {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if request == "" {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.runs[request] = time.Now()
		s.mu.Unlock()
		time.Sleep(runTime)
		w.Header().Set("X-Response-Signature", "proof."+request)
		_, _ = io.WriteString(w, "done "+request+"\n")
	})
}
