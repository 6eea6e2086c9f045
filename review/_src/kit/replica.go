package kit

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Host is the host of all routes, and Service the plain service.
const (
	Host    = "desk.example"
	Service = "logbook-api"
)

// Object is a JSON object.
type Object = map[string]any

// PlainConfig is a configuration with an unsafe and a safe route to the plain service.
func PlainConfig(version int64, timeout time.Duration) []byte {
	route := func(name, path, kind string, attempts int) Object {
		return Object{"name": name, "host": Host, "path_prefix": path, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300, "priority": 2, "service": Service, "max_attempts": attempts}
	}
	return Must(Object{
		"version":  version,
		"routes":   []Object{route("tick", "/tick/", "unsafe", 1), route("entry", "/entry/", "safe", 2)},
		"services": []Object{{"name": Service, "max_conns": 110}},
		"limits":   Object{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Run is a request that a replica has got and run.
type Run struct {
	ID      string
	Arrived time.Time
	// Done is set if the replica has written its whole answer.
	Done bool
}

// Replica is a replica of the plain service.
type Replica struct {
	ID         string
	Service    string
	deployment *Deployment
	address    string
	born       int64
	work       time.Duration
	body       func(id string) []byte
	seq        atomic.Int64
	leaving    chan struct{}
	once       sync.Once
	server     *http.Server

	mu   sync.Mutex
	runs []*Run
	// readBytes of a body are read every readEvery; 0 for all at once.
	readBytes int64
	readEvery time.Duration
	// arrived holds the requests whose heads have arrived.
	arrived map[string]bool
}

// HasArrived reports whether the head of a request has arrived.
func (r *Replica) HasArrived(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived[id]
}

// ReadSlowly makes the replica read n bytes of each request's body at a time.
func (r *Replica) ReadSlowly(n int64, every time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readBytes, r.readEvery = n, every
}

// readBody reads a request's body.
func (r *Replica) readBody(body io.Reader) error {
	r.mu.Lock()
	n, every := r.readBytes, r.readEvery
	r.mu.Unlock()
	if n == 0 {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	for {
		if _, err := io.CopyN(io.Discard, body, n); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		time.Sleep(every)
	}
}

// StartReplica starts a replica that answers each request after work with body, and registers.
func (d *Deployment) StartReplica(id string, work time.Duration, body func(id string) []byte) (*Replica, error) {
	return d.StartReplicaOf(Service, id, work, body)
}

// StartReplicaOf is like StartReplica, for a service.
func (d *Deployment) StartReplicaOf(service, id string, work time.Duration, body func(id string) []byte) (*Replica, error) {
	r := &Replica{ID: id, Service: service, deployment: d, born: time.Now().UnixMilli(), work: work, body: body, leaving: make(chan struct{}), arrived: make(map[string]bool)}
	var err error
	if r.address, err = d.Serve(http.HandlerFunc(r.serve)); err != nil {
		return nil, err
	}
	r.server = d.servers[len(d.servers)-1]
	go r.register()
	return r, nil
}

func (r *Replica) register() {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		select {
		case <-r.leaving:
			r.mu.Unlock()
			return
		default:
		}
		r.deployment.Store.Put("servers/"+r.ID, Must(Object{
			"service": r.Service, "address": r.address, "zone": "z", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": r.seq.Load(), "born": r.born,
		}))
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-r.leaving:
			return
		}
	}
}

// Leave removes the replica's registration, as of an engine that never reports draining, and
// returns when the store has accepted that. The replica goes on serving.
func (r *Replica) Leave() time.Time {
	r.once.Do(func() { close(r.leaving) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deployment.Store.Delete("servers/" + r.ID)
	return time.Now()
}

// Exit ends the replica: its listener and channels are closed.
func (r *Replica) Exit() { _ = r.server.Close() }

// Runs returns the requests that the replica has run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []Run
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", r.ID)
	if request.URL.Path == "/health" {
		return
	}
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	r.mu.Lock()
	r.arrived[id] = true
	r.mu.Unlock()
	if err := r.readBody(request.Body); err != nil {
		return
	}
	run := &Run{ID: id, Arrived: arrived}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	time.Sleep(r.work)
	body := r.body(id)
	header.Set("X-Response-Signature", "proof."+id)
	header.Set("Content-Length", fmt.Sprint(len(body)))
	if _, err := w.Write(body); err == nil {
		r.mu.Lock()
		run.Done = true
		r.mu.Unlock()
	}
}

// ShortBody is a body of 800 bytes.
func ShortBody(id string) []byte {
	return fmt.Appendf(nil, "%-799s\n", "answer to "+id)
}
