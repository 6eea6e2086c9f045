package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// engines, adapters and daemons are their numbers, and requestInterval is the time between
	// two requests to one daemon.
	engines         = 6
	adapters        = 80
	daemons         = 3
	requestInterval = 25 * time.Millisecond
	// freeze and outage are the longest of dyfrdwy-ops-grown; the outage begins beforeThaw
	// before the end of the freeze.
	freeze     = 6200 * time.Millisecond
	outage     = 8 * time.Second
	beforeThaw = 400 * time.Millisecond
	// leaseTime and thawTime are lease_ms and thaw_ms.
	leaseTime = 3 * time.Second
	thawTime  = 300 * time.Millisecond
)

func modelConfiguration() object {
	return object{
		"version": 1,
		"routes": []object{{
			"name": "notes", "host": host, "path_prefix": "/orders/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 1000,
			"gap_target_ms": 300, "priority": 1, "service": "lm", "max_attempts": 2, "resumable": true,
		}},
		"services": []object{{"name": "lm", "max_conns": 660, "engine": object{
			"slots": engineSlots, "kv_capacity": 100000, "adapter_slots": adapterSlots, "weights_mb": 17000, "loads_per_s": 26,
			"models": []object{{"name": model, "weights_mb": 16000, "load_time_s": 0.95, "adapters": adapters, "adapter_size_mb": 12}},
		}}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// frozenHolder freezes the daemon that gave the last order, and wakes it while the store is down.
// It must not order engines that others have claimed meanwhile.
func frozenHolder(r *record, program string, trouble bool) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "review-6-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s := newStore()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go s.serve(listener)
	s.put("op/config", modelConfiguration())
	log := &orderLog{}
	newest := &newestVersions{byAdapter: make(map[string]int64)}
	for n := range engines {
		if _, err := startEngine(n, s, log, &runLog{}, newest); err != nil {
			return false, err
		}
	}
	all := make(map[string]*daemon)
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	defer sending.Wait()
	defer stop()
	for n := range daemons {
		d, err := startDaemon(program, listener.Addr().String(), dir, fmt.Sprintf("front-zone-a-%d", n+1), false)
		if err != nil {
			return false, err
		}
		defer d.stop()
		all[d.name] = d
	}
	for _, d := range all {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
		sending.Go(func() { d.sendNotes(ctx, &sending, randomAdapter) })
	}
	time.Sleep(12 * time.Second)
	given := log.all()
	if len(given) == 0 {
		return false, fmt.Errorf("no order was given in 12 s")
	}
	last := all[given[len(given)-1].holder]
	if last == nil {
		return false, fmt.Errorf("the last order is of an unknown holder")
	}
	var thawedAt time.Time
	if trouble {
		r.note("%s, which gave the last of %d orders, freezes", last.name, len(given))
		last.signal(syscall.SIGSTOP)
		time.Sleep(freeze - beforeThaw)
		s.setSilent(true)
		r.note("the store is down")
		time.Sleep(beforeThaw)
		last.signal(syscall.SIGCONT)
		thawedAt = time.Now()
		r.note("%s wakes", last.name)
		time.Sleep(outage - beforeThaw)
		s.setSilent(false)
		r.note("the store is back")
	} else {
		time.Sleep(freeze + outage - beforeThaw)
	}
	time.Sleep(3 * time.Second)
	return r.judgeOrders(log.all(), last.name, thawedAt), nil
}

// randomAdapter returns the number of the adapter of a request.
func randomAdapter() int {
	return 1 + rand.IntN(adapters)
}

// sendNotes sends requests for the adapters that choose returns until ctx ends.
func (d *daemon) sendNotes(ctx context.Context, sending *sync.WaitGroup, choose func() int) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sending.Go(func() { d.sendNote(ctx, fmt.Sprintf("%s-%d", d.name, n), choose()) })
		}
	}
}

func (d *daemon) sendNote(ctx context.Context, id string, adapter int) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/orders/n", bytes.NewReader([]byte("note "+id)))
	if err != nil {
		panic(err) // the arguments are the kit's own
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Model", fmt.Sprintf("%s/a%d", model, adapter))
	request.Header.Set("X-Token-Usage", "200,20")
	response, err := notes.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

var notes = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// judgeOrders writes the orders that break the rule, and reports whether there were any. Those of
// the daemon that was frozen don't count until thawTime after it woke.
func (r *record) judgeOrders(orders []arrivedOrder, frozen string, thawedAt time.Time) (broken bool) {
	highest := make(map[string]arrivedOrder)
	previous := make(map[string]arrivedOrder)
	byHolder := make(map[string]int)
	lower, turns := 0, 0
	for _, o := range orders {
		byHolder[o.holder]++
		r.note("%s: at %.3f s an order of %s with token %d (%s)", o.engine, o.at.Sub(r.began).Seconds(), o.holder, o.token, o.text)
		if o.holder == frozen && !thawedAt.IsZero() && o.at.After(thawedAt) && o.at.Sub(thawedAt) < thawTime {
			continue
		}
		at := o.at.Sub(r.began).Seconds()
		if h := highest[o.engine]; o.token < h.token {
			lower++
			r.note("%s: at %.3f s an order of %s with token %d (%s) after one of %s with token %d", o.engine, at, o.holder, o.token, o.text, h.holder, h.token)
		} else {
			highest[o.engine] = o
		}
		if p, ok := previous[o.engine]; ok && p.holder != o.holder && o.at.Sub(p.at) < leaseTime {
			turns++
			r.note("%s: at %.3f s an order of %s (%s), %d ms after one of %s", o.engine, at, o.holder, o.text, o.at.Sub(p.at).Milliseconds(), p.holder)
		}
		previous[o.engine] = o
	}
	r.note("orders by holder: %v", byHolder)
	r.note("orders with a lower token after a higher one: %d; holders within %v of another: %d", lower, leaseTime, turns)
	return lower+turns > 0
}
