package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of one page of a range, and of one answer to a watch, as the users' pages
// state them for ranges.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// history is how long the store keeps changes for watches.
const history = 20 * time.Second

// item is a key of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's metadata store. It is safe for concurrent use.
type store struct {
	mu        sync.Mutex // guards all below
	revision  int64
	compacted int64
	items     map[string]item
	changes   []item
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	// refuses is set while the store turns the machine away with 503, and silent while it
	// answers no call.
	refuses, silent bool
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
}

func (s *store) setRefuses(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
	s.wake()
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// put writes a key as the operator or an engine does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the kit's own types can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.wake()
}

// set changes a key at the current revision. The caller holds mu.
func (s *store) set(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

// remove deletes a key at the current revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	}
}

// record adds a change and drops those that are too old. The caller holds mu.
func (s *store) record(change item) {
	s.changes = append(s.changes, change)
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > history {
		s.compacted = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
}

// wake makes waiting watches look again. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuses, silent := s.refuses, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if refuses {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type object = map[string]any

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, object{})
		return
	}
	reply(w, http.StatusOK, i)
}

// page returns how many of some items fit into one answer.
func page(items []item) int {
	bytes := 0
	for n, i := range items {
		bytes += len(i.Value)
		if n == maxPageItems || n > 0 && bytes > maxPageBytes {
			return n
		}
	}
	return len(items)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	n := page(found)
	reply(w, http.StatusOK, object{"items": found[:n], "has_more": n < len(found), "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, change := range s.changes {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		asOf, compacted, refuses, silent, changed := s.revision, after < s.compacted, s.refuses, s.silent, s.changed
		s.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case refuses:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case compacted:
			reply(w, http.StatusGone, object{})
			return
		case len(events) > 0:
			if n := wholeRevisions(events, page(events)); n < len(events) {
				events = events[:n]
				asOf = events[n-1].Revision
			}
			reply(w, http.StatusOK, object{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, object{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// wholeRevisions returns at least n, and so many events that no revision is divided.
func wholeRevisions(events []item, n int) int {
	for n < len(events) && events[n].Revision == events[n-1].Revision {
		n++
	}
	return n
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Deletes      []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range txn.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, object{})
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, object{})
			return
		}
	}
	failed, current := false, []item{}
	for _, condition := range txn.Precondition {
		i := s.items[condition.Key]
		i.Key = condition.Key
		current = append(current, i)
		failed = failed || i.Revision != condition.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, object{"items": current})
		return
	}
	s.revision++
	for _, put := range txn.Puts {
		s.set(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, object{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var message struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&message) != nil || message.TTL < 1000 {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id, ttl := s.nextLease, time.Duration(message.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, http.StatusOK, object{"lease": id, "ttl_ms": message.TTL})
}

// endLease ends a lease. Leases pause while the store is silent.
func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	if s.silent {
		l.timer.Reset(l.ttl)
		return true
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
	return true
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, object{})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, object{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !s.endLease(id) {
		reply(w, http.StatusNotFound, object{})
		return
	}
	reply(w, http.StatusOK, object{})
}
