package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model        = "base"
	engineSlots  = 64
	adapterSlots = 6
	loadTime     = 250 * time.Millisecond
	eventsOfRun  = 5
	eventTime    = 20 * time.Millisecond
)

// arrivedOrder is an order that has reached an engine.
type arrivedOrder struct {
	engine string
	holder string
	token  int64
	at     time.Time
	text   string
}

// orderLog holds the orders to all engines as they arrived.
type orderLog struct {
	mu     sync.Mutex // guards orders
	orders []arrivedOrder
}

func (l *orderLog) add(o arrivedOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *orderLog) all() []arrivedOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrivedOrder(nil), l.orders...)
}

// adapterRun is the beginning of a request's run on a version of an adapter.
type adapterRun struct {
	request string
	engine  string
	adapter string
	version int64
	at      time.Time
}

// runLog holds the runs at all engines as they began.
type runLog struct {
	mu   sync.Mutex // guards runs
	runs []adapterRun
}

func (l *runLog) add(run adapterRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

func (l *runLog) all() []adapterRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]adapterRun(nil), l.runs...)
}

// newestVersions holds the newest version of each adapter; 1 if none was named.
type newestVersions struct {
	mu        sync.Mutex // guards byAdapter
	byAdapter map[string]int64
}

func (v *newestVersions) set(adapter string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.byAdapter[adapter] = version
}

func (v *newestVersions) of(adapter string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.byAdapter[adapter], 1)
}

// engine is a stand-in of a model engine with one base model.
type engine struct {
	id      string
	address string
	born    int64
	log     *orderLog
	runs    *runLog
	newest  *newestVersions

	mu  sync.Mutex // guards the fields below
	seq int64
	// held and pending are the versions of the adapters that are held and on their way, and
	// running is the number of runs.
	held     map[string]int64
	pending  map[string]int64
	running  map[string]int
	overfull bool
}

// startEngine starts an engine, which registers until the process ends, except while the store
// is silent.
func startEngine(n int, s *store, log *orderLog, runs *runLog, newest *newestVersions) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: fmt.Sprintf("i-engine-%d", n), address: listener.Addr().String(), born: time.Now().UnixMilli(), log: log, runs: runs, newest: newest,
		held: make(map[string]int64), pending: make(map[string]int64), running: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.serveReport)
	mux.HandleFunc("POST /-/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRun)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Instance-Id", e.id)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	go func() {
		time.Sleep(rand.N(heartbeat))
		for {
			if !s.isSilent() {
				s.put("servers/"+e.id, e.entry())
			}
			time.Sleep(heartbeat)
		}
	}()
	return e, nil
}

func (e *engine) entry() object {
	e.mu.Lock()
	defer e.mu.Unlock()
	return object{
		"service": "lm", "address": e.address, "zone": "zone-a", "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "seq": e.seq, "born": e.born, "models": e.models(),
	}
}

// models lists what the engine holds. The caller holds mu.
func (e *engine) models() []object {
	adapters := []string{}
	for name, version := range e.held {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	sort.Strings(adapters)
	return []object{{"name": model, "version": 1, "adapters": adapters}}
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pending := []string{}
	for name, version := range e.pending {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", model, name, version))
	}
	reply(w, http.StatusOK, object{
		"stage": "both", "models": e.models(), "busy": false, "seq": e.seq, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000,
		"handles": 0, "pending": pending, "born": e.born,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string `json:"op"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Version      int64  `json:"version"`
		Precondition *int64 `json:"precondition"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.carryOut(order.Op, order.Adapter, order.Version, order.Precondition)
	e.log.add(arrivedOrder{
		engine: e.id, holder: order.Holder, token: order.FencingToken, at: time.Now(),
		text: fmt.Sprintf("%s %s@%d, answered %d", order.Op, order.Adapter, order.Version, status),
	})
	w.WriteHeader(status)
}

// carryOut carries an order out. Version 0 stands for the newest.
func (e *engine) carryOut(op, adapter string, version int64, precondition *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == 0 {
		version = e.newest.of(adapter)
	}
	_, isPending := e.pending[adapter]
	switch {
	case precondition != nil && *precondition != e.seq:
		return http.StatusConflict
	case adapter == "":
		return http.StatusOK // the model is there
	case op == "unload" && e.held[adapter] == 0:
		return http.StatusOK
	case op == "unload":
		delete(e.held, adapter)
		e.seq++
		return http.StatusOK
	case e.held[adapter] == version && !isPending:
		return http.StatusOK
	case e.pending[adapter] == version:
		return http.StatusAccepted
	case isPending:
		return http.StatusConflict
	}
	e.seq++
	e.overfull = e.overfull || len(e.held)+len(e.pending) >= adapterSlots && e.held[adapter] == 0
	e.pending[adapter] = version
	go e.load(adapter, version)
	return http.StatusAccepted
}

// load loads an adapter, or replaces it once its runs have ended.
func (e *engine) load(adapter string, version int64) {
	time.Sleep(loadTime)
	for !e.finishLoad(adapter, version) {
		time.Sleep(eventTime)
	}
}

func (e *engine) finishLoad(adapter string, version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[adapter] > 0 {
		return false
	}
	delete(e.pending, adapter)
	e.held[adapter] = version
	return true
}

// beginRun begins a run and returns 0, or returns the status of a refusal.
func (e *engine) beginRun(r *http.Request, adapter string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := e.held[adapter]
	expected := r.Header.Get("X-Expect-Version")
	switch {
	case e.pending[adapter] != 0:
		return http.StatusServiceUnavailable
	case version == 0 || expected != "" && expected != strconv.FormatInt(version, 10):
		return http.StatusMisdirectedRequest
	}
	e.running[adapter]++
	e.runs.add(adapterRun{request: r.Header.Get("X-Request-Id"), engine: e.id, adapter: adapter, version: version, at: time.Now()})
	return 0
}

func (e *engine) endRun(adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[adapter]--
}

func (e *engine) serveRun(w http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	if status := e.beginRun(r, adapter); status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer e.endRun(adapter)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "proof."+r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Weight-Versions", "1")
	for n := range eventsOfRun {
		time.Sleep(eventTime)
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: token\n\n", n+1)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
