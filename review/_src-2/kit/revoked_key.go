package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const host = "orders.example"

const (
	// instances is the number of instances that register.
	instances = 4
	// routes is the number of routes of a configuration: two times big_config of 1,400, the
	// largest in the site files.
	routes = 2800
	// stormChanges configurations come stormInterval apart, as in config_storm of the site
	// files.
	stormChanges  = 9
	stormInterval = 330 * time.Millisecond
	// refusal is how long the store turns the machine away; the longest in the site files.
	refusal = 9 * time.Second
	// revokeBound is revoke_ms.
	revokeBound = 5 * time.Second
	// sendInterval is the time between two requests with the key.
	sendInterval = 5 * time.Millisecond
)

func configuration(version int, keys ...string) object {
	all := []object{route("orders", "/orders/")}
	for n := range routes {
		all = append(all, route(fmt.Sprintf("idle-%d", n), fmt.Sprintf("/idle-%d-%d/", n, version)))
	}
	return object{
		"version":  version,
		"routes":   all,
		"services": []object{{"name": "orderbook", "max_conns": 520}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "press", "api_keys": keys}},
	}
}

func route(name, prefix string) object {
	return object{
		"name": name, "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 150,
		"gap_target_ms": 0, "priority": 2, "service": "orderbook", "max_attempts": 1, "resumable": false, "public": false,
	}
}

// revokedKey sends some configurations and then takes a key away while the store turns the machine away, and sends requests with
// it from then on. No request that is sent later than revoke_ms after the ack may run.
func revokedKey(r *record, program string, trouble bool) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "review-8-")
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
	s.put("op/config", configuration(1, "key-1", "key-2"))
	orders := newService("orderbook", s)
	for n := range instances {
		if err := orders.start(n); err != nil {
			return false, err
		}
	}
	d, err := startDaemon(program, listener.Addr().String(), dir, "front-zone-a-1", true)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	if err := awaitServed(d); err != nil {
		return false, err
	}
	r.note("the daemon serves requests with key-1")
	time.Sleep(6 * time.Second)

	refusedAt := time.Now()
	if trouble {
		s.setRefuses(true)
		r.note("the store turns the machine away")
	}
	version := 1
	for range stormChanges {
		version++
		s.put("op/config", configuration(version, "key-1", "key-2"))
		time.Sleep(stormInterval)
	}
	version++
	s.put("op/config", configuration(version, "key-2"))
	ackedAt := time.Now()
	r.note("configuration %d is acknowledged, which takes key-1 away", version)

	var mu sync.Mutex
	var answers []answer
	var sending sync.WaitGroup
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for n := 0; time.Since(refusedAt) < refusal+5*time.Second; n++ {
		<-ticker.C
		if trouble && time.Since(refusedAt) > refusal {
			if s.admits() {
				r.note("the store serves the machine again")
			}
		}
		sending.Go(func() {
			a := d.send(fmt.Sprintf("revoked-%d", n), "key-1")
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	sending.Wait()
	last := d.send("kept", "key-2")
	if last.status != 200 {
		return false, fmt.Errorf("a request with key-2 got %d at the end", last.status)
	}
	return r.judge(answers, orders, ackedAt), nil
}

// admits ends the refusals, and reports whether there were any.
func (s *store) admits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.refuses
	s.refuses = false
	return refused
}

func awaitServed(d *daemon) error {
	status := 0
	for n := range 100 {
		if status = d.send(fmt.Sprintf("first-%d", n), "key-1").status; status == 200 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("requests are not served after 10 s, the last got %d", status)
}

// judge writes how the requests ended, and reports whether one ran that was sent later than
// revokeBound after the ack.
func (r *record) judge(answers []answer, orders *service, ackedAt time.Time) (broken bool) {
	statuses := make(map[int]int)
	late := 0
	for _, a := range answers {
		statuses[a.status]++
		ranAt, ran := orders.ranAt(a.id)
		after := a.sentAt.Sub(ackedAt)
		r.note("%s sent %.3f s after the ack, answered %d, ran %t", a.id, after.Seconds(), a.status, ran)
		if ran && after > revokeBound {
			late++
			r.note("%s, sent %.3f s after the ack with the key that was taken away, answered %d, began to run %.3f s after the ack",
				a.id, after.Seconds(), a.status, ranAt.Sub(ackedAt).Seconds())
		}
	}
	r.note("requests with key-1 after the ack, by status: %v", statuses)
	r.note("of these, %d were sent later than %v after the ack and ran", late, revokeBound)
	return late > 0
}
