package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/barleylift/barleylift/review/_src/kit"
)

const (
	// stormGap and stormTime are those of the storm of configurations, and stormRoutes the
	// routes of each, about 780 kB.
	stormGap    = 330 * time.Millisecond
	stormTime   = 3700 * time.Millisecond
	stormRoutes = 3500
	freezeTime  = 4 * time.Second
	// applyTime is config_apply_ms. Requests are judged that were sent later than that after
	// the last ack, and after the machine is in touch, for checkTime.
	applyTime = 2 * time.Second
	checkTime = 8 * time.Second
	oldHome   = "logbook-api"
	newHome   = "logbook-next"
)

// stormConfig is a configuration with many routes, whose route /tick/ goes to a service.
func stormConfig(version int64, home string) []byte {
	route := func(name, path, service string) kit.Object {
		return kit.Object{
			"name": name, "host": kit.Host, "path_prefix": path, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2,
			"service": service, "max_attempts": 1, "sticky": false, "resumable": false,
		}
	}
	routes := []kit.Object{route("r-tick", "/tick/", home)}
	for n := range stormRoutes {
		routes = append(routes, route(fmt.Sprintf("r-further-%05d", n), fmt.Sprintf("/further%05d/", n), oldHome))
	}
	return kit.Must(kit.Object{
		"version": version, "routes": routes,
		"services": []kit.Object{{"name": oldHome, "max_conns": 110}, {"name": newHome, "max_conns": 110}},
		"limits":   kit.Object{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// longWatch freezes a machine while configurations come in quick succession, and counts the
// requests that it sends to the old service later.
func longWatch(dir string, trouble bool) (broken bool, err error) {
	d, err := kit.NewDeployment(dir)
	if err != nil {
		return false, err
	}
	defer d.Close()
	store, err := d.StartStore()
	if err != nil {
		return false, err
	}
	version := int64(3)
	d.Store.Put("op/config", stormConfig(version, oldHome))
	homes := map[string]*kit.Replica{}
	for n, service := range []string{oldHome, oldHome, newHome, newHome} {
		id := fmt.Sprintf("i-%04d", n)
		if homes[id], err = d.StartReplicaOf(service, id, replicaWork, kit.ShortBody); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := d.StartDaemon(binary(), store); err != nil {
			return false, err
		}
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var sentAt sync.Map
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for n := range clientCount {
		clients.Go(func() {
			daemon := d.Daemons[n%len(d.Daemons)]
			c := newClient(fmt.Sprintf("c%02d", n), daemon.Entry())
			for {
				select {
				case <-stop:
					return
				case <-time.After(clientPause):
				}
				id := c.nextID()
				sentAt.Store(id, sending{time.Now(), daemon.Name})
				if status, err := c.post("/tick/"+id, id, 3*time.Second); err != nil || status != http.StatusOK {
					failed.Add(1)
					d.Record.Line("request %s to %s ended with status %d, error %v", id, daemon.Name, status, err)
				} else {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	frozen := d.Daemons[0]
	if trouble {
		frozen.Signal(syscall.SIGSTOP)
		d.Record.Line("%s stands still", frozen.Name)
	}
	began := time.Now()
	var acked time.Time
	for time.Since(began) < stormTime {
		version += 2
		home := oldHome
		if time.Since(began)+stormGap >= stormTime {
			home = newHome
		}
		value := stormConfig(version, home)
		d.Store.Put("op/config", value)
		acked = time.Now()
		d.Record.Line("store has accepted version %d, %d bytes, /tick/ goes to %s", version, len(value), home)
		time.Sleep(stormGap)
	}
	time.Sleep(max(0, freezeTime-time.Since(began)))
	if trouble {
		frozen.Signal(syscall.SIGCONT)
		d.Record.Line("%s goes on", frozen.Name)
	}
	thawed := time.Now()
	from := thawed.Add(kit.StableTime)
	if after := acked.Add(applyTime); after.After(from) {
		from = after
	}
	d.Record.Line("requests are judged that are sent %d ms after the last ack, or later", from.Sub(acked).Milliseconds())
	time.Sleep(time.Until(from.Add(checkTime)))
	close(stop)
	clients.Wait()
	old, right := map[string]int{}, map[string]int{}
	for id, replica := range homes {
		for _, run := range replica.Runs() {
			value, _ := sentAt.Load(run.ID)
			sent, ok := value.(sending)
			if !ok || sent.at.Before(from) {
				continue
			}
			if replica.Service == oldHome {
				old[sent.to]++
				d.Record.Line("%s of %s has run %s, which %s got %d ms after the last ack", id, replica.Service, run.ID, sent.to, sent.at.Sub(acked).Milliseconds())
			} else {
				right[sent.to]++
			}
		}
	}
	wrong := 0
	for _, daemon := range d.Daemons {
		wrong += old[daemon.Name]
		d.Record.Line("%s: %d requests run by the old service, %d by the new one", daemon.Name, old[daemon.Name], right[daemon.Name])
		fmt.Printf("%s: %d requests run by the old service, %d by the new one\n", daemon.Name, old[daemon.Name], right[daemon.Name])
	}
	d.Record.Line("%d requests served, %d not", served.Load(), failed.Load())
	if len(right) == 0 {
		return false, errors.New("no machine has the last configuration")
	}
	return wrong > 0, nil
}

// sending is when a request was sent, and to which daemon.
type sending struct {
	at time.Time
	to string
}
