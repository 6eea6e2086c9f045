package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/review/_src/kit"
)

const (
	rounds       = 6
	clientCount  = 12
	clientPause  = 60 * time.Millisecond
	replicaWork  = 60 * time.Millisecond
	replicaCount = 3
	// The store cuts the watches that wait every cutStep for cutTime, and then accepts the
	// removal of a replica's entry.
	cutStep = 30 * time.Millisecond
	cutTime = 240 * time.Millisecond
	// serveAfter is how long a replica goes on after drain_ms: a little longer.
	serveAfter = 300 * time.Millisecond
	roundTime  = 8 * time.Second
)

// watchCut removes a replica right after the store has cut the watches that wait, and counts
// the requests that reach it later than drain_ms.
func watchCut(dir string, trouble bool) (broken bool, err error) {
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
	replicas := make([]*kit.Replica, 0, replicaCount+rounds)
	for n := range replicaCount {
		r, err := d.StartReplica(fmt.Sprintf("i-%04d", n), replicaWork, kit.ShortBody)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
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
				id, sent := c.nextID(), time.Now()
				status, err := c.post("/tick/"+id, id, 3*time.Second)
				if status == http.StatusOK {
					served.Add(1)
					continue
				}
				failed.Add(1)
				d.Record.Line("client %s: request %s, sent %.0f ms ago, ended with status %d, error %v", c.name, id, float64(time.Since(sent).Milliseconds()), status, err)
			}
		})
	}
	time.Sleep(10 * time.Second) // the first start is over, and all machines are in touch
	late := 0
	for round := range rounds {
		next, err := d.StartReplica(fmt.Sprintf("i-%04d", replicaCount+round), replicaWork, kit.ShortBody)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, next)
		time.Sleep(2 * time.Second)
		leaving := replicas[round]
		if trouble {
			cut := 0
			for range cutTime / cutStep {
				cut += d.Watches.Cut()
				time.Sleep(cutStep)
			}
			d.Record.Line("store has cut %d waiting watches", cut)
		}
		acked := leaving.Leave()
		d.Record.Line("store has accepted that the entry of %s is removed", leaving.ID)
		time.Sleep(kit.DrainTime + serveAfter)
		leaving.Exit()
		n, last := 0, time.Duration(0)
		for _, run := range leaving.Runs() {
			if after := run.Arrived.Sub(acked); after > kit.DrainTime {
				n++
				last = max(last, after)
				d.Record.Line("%s: request %s arrived %.0f ms after the ack", leaving.ID, run.ID, float64(after.Milliseconds()))
			}
		}
		d.Record.Line("%s: %d requests arrived later than drain_ms, the last one %d ms after the ack", leaving.ID, n, last.Milliseconds())
		late += n
		time.Sleep(roundTime - 2*time.Second - kit.DrainTime - serveAfter)
	}
	close(stop)
	clients.Wait()
	for _, daemon := range d.Daemons {
		if daemon.Exited() {
			return false, fmt.Errorf("%s has ended by itself", daemon.Name)
		}
	}
	d.Record.Line("%d requests served, %d not; %d reached replicas later than drain_ms after the ack", served.Load(), failed.Load(), late)
	fmt.Printf("%d requests served, %d not, %d reached a replica that is gone later than drain_ms after the ack\n", served.Load(), failed.Load(), late)
	if served.Load() < 1000 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return late > 0, nil
}

// client sends requests over a kept channel.
type client struct {
	name  string
	entry string
	http  *http.Client
	count int
}

func newClient(name, entry string) *client {
	return &client{name: name, entry: entry, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

func (c *client) nextID() string {
	c.count++
	return fmt.Sprintf("%s-%05d", c.name, c.count)
}

func (c *client) post(path, id string, limit time.Duration) (status int, err error) {
	// NopCloser keeps the client from sending the request again by itself.
	request, err := http.NewRequest(http.MethodPost, "http://"+c.entry+path, io.NopCloser(bytes.NewReader([]byte("tick\n"))))
	if err != nil {
		return 0, err
	}
	request.ContentLength = 5
	request.Host = kit.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
