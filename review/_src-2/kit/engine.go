package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
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

// engine is a stand-in of a model engine with one base model.
type engine struct {
	id      string
	address string
	born    int64
	log     *orderLog

	mu       sync.Mutex // guards the fields below
	seq      int64
	held     map[string]bool
	pending  map[string]bool
	overfull bool
}

// startEngine starts an engine, which registers until the process ends, except while the store
// is silent.
func startEngine(n int, s *store, log *orderLog) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: fmt.Sprintf("i-engine-%d", n), address: listener.Addr().String(), born: time.Now().UnixMilli(), log: log,
		held: make(map[string]bool), pending: make(map[string]bool),
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
	for name := range e.held {
		adapters = append(adapters, name+"@1")
	}
	sort.Strings(adapters)
	return []object{{"name": model, "version": 1, "adapters": adapters}}
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pending := []string{}
	for name := range e.pending {
		pending = append(pending, model+"/"+name+"@1")
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
		Precondition *int64 `json:"precondition"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.carryOut(order.Op, order.Adapter, order.Precondition)
	e.log.add(arrivedOrder{
		engine: e.id, holder: order.Holder, token: order.FencingToken, at: time.Now(),
		text: fmt.Sprintf("%s %s, answered %d", order.Op, order.Adapter, status),
	})
	w.WriteHeader(status)
}

func (e *engine) carryOut(op, adapter string, precondition *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case precondition != nil && *precondition != e.seq:
		return http.StatusConflict
	case adapter == "":
		return http.StatusOK // the model is there
	case op == "unload" && !e.held[adapter]:
		return http.StatusOK
	case op == "unload":
		delete(e.held, adapter)
		e.seq++
		return http.StatusOK
	case e.held[adapter]:
		return http.StatusOK
	case e.pending[adapter]:
		return http.StatusAccepted
	}
	e.seq++
	e.overfull = e.overfull || len(e.held)+len(e.pending) >= adapterSlots
	e.pending[adapter] = true
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.pending, adapter)
		e.held[adapter] = true
	})
	return http.StatusAccepted
}

func (e *engine) serveRun(w http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mu.Lock()
	held := e.held[adapter]
	e.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
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
