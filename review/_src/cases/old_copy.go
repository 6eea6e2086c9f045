package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/platform/standin"
	"github.com/barleylift/barleylift/review/_src/kit"
)

const (
	drills = 3
	// drillAfter is how long after the replica's removal the drill begins, and awayTime how
	// long the store is away.
	drillAfter = 4 * time.Second
	awayTime   = 500 * time.Millisecond
	// copyAge is how long before the replica's removal the copy was made.
	copyAge = time.Second
	// lapseAfter is how long after the store's return the entry of an engine that doesn't write
	// it again is removed: three heartbeats.
	lapseAfter = 3 * kit.Heartbeat
	// lingerTime is how long the replica goes on after its removal, before it exits: many
	// seconds.
	lingerTime = 7 * time.Second
)

// oldCopy removes a replica, lets the store come back from a copy of before, and counts the
// requests that reach the replica later than drain_ms.
func oldCopy(dir string, trouble bool) (broken bool, err error) {
	d, err := kit.NewDeployment(dir)
	if err != nil {
		return false, err
	}
	defer d.Close()
	store, err := d.StartStore()
	if err != nil {
		return false, err
	}
	d.Store.Put("op/config", kit.PlainConfig(3, 3*time.Second))
	var replicas []*kit.Replica
	start := func() error {
		r, err := d.StartReplica(fmt.Sprintf("i-%04d", len(replicas)), replicaWork, kit.ShortBody)
		replicas = append(replicas, r)
		return err
	}
	for range replicaCount {
		if err := start(); err != nil {
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
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for n := range clientCount {
		clients.Go(func() {
			c := newClient(fmt.Sprintf("c%02d", n), d.Daemons[n%len(d.Daemons)].Entry())
			for {
				select {
				case <-stop:
					return
				case <-time.After(clientPause):
				}
				id := c.nextID()
				status, err := c.post("/tick/"+id, id, 3*time.Second)
				if status == http.StatusOK {
					served.Add(1)
					continue
				}
				failed.Add(1)
				d.Record.Line("client %s: request %s ended with status %d, error %v", c.name, id, status, err)
			}
		})
	}
	time.Sleep(8 * time.Second)
	late := 0
	for n := range drills {
		if err := start(); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second)
		leaving := replicas[n]
		before := d.Store.Copy()
		time.Sleep(copyAge)
		acked := leaving.Leave()
		d.Record.Line("store has accepted that the entry of %s is removed", leaving.ID)
		time.Sleep(drillAfter)
		d.Record.Line("%s: %d requests arrived later than drain_ms before the drill", leaving.ID, lateRuns(leaving, acked))
		if trouble {
			d.Record.Line("store is away, until it comes back from a copy of %v before the removal", copyAge)
			d.Store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(awayTime)
			d.Store.Restore(before)
			d.Store.SetFaults(standin.StoreFaults{})
			d.Record.Line("store is back")
			time.AfterFunc(lapseAfter, func() {
				d.Store.Delete("servers/" + leaving.ID)
				d.Record.Line("store has removed the entry of %s, which was not written again", leaving.ID)
			})
		} else {
			time.Sleep(awayTime)
		}
		time.Sleep(lingerTime - drillAfter - awayTime)
		leaving.Exit()
		for _, run := range leaving.Runs() {
			if after := run.Arrived.Sub(acked); after > kit.DrainTime {
				d.Record.Line("%s: request %s arrived %d ms after the ack", leaving.ID, run.ID, after.Milliseconds())
			}
		}
		d.Record.Line("%s has ended; %d requests arrived later than drain_ms", leaving.ID, lateRuns(leaving, acked))
		late += lateRuns(leaving, acked)
		time.Sleep(6 * time.Second)
	}
	close(stop)
	clients.Wait()
	d.Record.Line("%d requests served, %d not; %d reached replicas later than drain_ms after the ack", served.Load(), failed.Load(), late)
	fmt.Printf("%d requests served, %d not, %d reached a replica that is gone later than drain_ms after the ack\n", served.Load(), failed.Load(), late)
	if served.Load() < 1000 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return late > 0, nil
}

// lateRuns counts the requests that arrived later than drain_ms after the ack.
func lateRuns(r *kit.Replica, acked time.Time) int {
	n := 0
	for _, run := range r.Runs() {
		if run.Arrived.Sub(acked) > kit.DrainTime {
			n++
		}
	}
	return n
}
