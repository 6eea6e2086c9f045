package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/barleylift/barleylift/review/_src/kit"
)

const (
	// bodyBytes is the length of the requests' bodies: max_body_bytes.
	bodyBytes = 4 << 20
	// bodyRate is the number of requests a second at each daemon, and bodyTime how long they
	// are sent.
	bodyRate = 8
	bodyTime = 30 * time.Second
	// A slow replica reads readBytes of a body every readEvery.
	readBytes = 64 << 10
	readEvery = 125 * time.Millisecond
	// memoryMB is the daemons' memory, which the platform looks at every sampleEvery. A process
	// that ends is started again after restartAfter.
	memoryMB     = 284
	sampleEvery  = 20 * time.Millisecond
	restartAfter = time.Second
	// maxLost is the number of requests that a machine may lose.
	maxLost = 3
)

// bigBodies sends requests with long bodies to replicas that read slowly, and ends processes
// that exceed their memory as the platform does. It counts, for each machine, the requests that
// had been passed on to a replica and whose kept channels were closed without an answer. Only those
// sent before the first end of the machine's process count.
func bigBodies(dir string, trouble bool) (broken bool, err error) {
	d, err := kit.NewDeployment(dir)
	if err != nil {
		return false, err
	}
	defer d.Close()
	store, err := d.StartStore()
	if err != nil {
		return false, err
	}
	d.Store.Put("op/config", kit.PlainConfig(3, slowLimit))
	var replicas []*kit.Replica
	for n := range replicaCount {
		r, err := d.StartReplica(fmt.Sprintf("i-%04d", n), replicaWork, kit.ShortBody)
		if err != nil {
			return false, err
		}
		if trouble {
			r.ReadSlowly(readBytes, readEvery)
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
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var platform, clients sync.WaitGroup
	ends := make([]atomic.Int64, len(d.Daemons))
	lost := make([]atomic.Int64, len(d.Daemons))
	peaks := make([]int, len(d.Daemons))
	for n, daemon := range d.Daemons {
		platform.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(sampleEvery):
				}
				kb := residentKB(daemon.PID())
				peaks[n] = max(peaks[n], kb)
				if kb <= memoryMB<<10 {
					continue
				}
				d.Record.Line("%s has %d kB of its own, over memory_mb: killed and started again", daemon.Name, kb)
				ends[n].Add(1)
				daemon.Signal(syscall.SIGKILL)
				daemon.Await()
				time.Sleep(restartAfter)
				if err := daemon.Start(); err != nil {
					d.Record.Line("%s not started: %v", daemon.Name, err)
					return
				}
			}
		})
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var served, unanswered, other atomic.Int64
	for n, daemon := range d.Daemons {
		clients.Go(func() {
			for i := range int(bodyTime.Seconds()) * bodyRate {
				time.Sleep(time.Second / bodyRate)
				clients.Go(func() {
					id := fmt.Sprintf("b%d-%04d", n, i)
					endsBefore := ends[n].Load()
					status, kept, err := postKept(daemon.Entry(), id, body)
					passedOn := slices.ContainsFunc(replicas, func(r *kit.Replica) bool { return r.HasArrived(id) })
					switch {
					case err != nil:
						unanswered.Add(1)
						if kept && passedOn && endsBefore == 0 {
							lost[n].Add(1)
						}
						d.Record.Line("request %s to %s has no answer (kept channel %t, passed on %t, ends of the process before %d): %v", id, daemon.Name, kept, passedOn, endsBefore, err)
					case status == http.StatusOK:
						served.Add(1)
					default:
						other.Add(1)
						d.Record.Line("request %s to %s ended with status %d", id, daemon.Name, status)
					}
				})
			}
		})
	}
	clients.Wait()
	close(stop)
	platform.Wait()
	for n, daemon := range d.Daemons {
		d.Record.Line("%s: %d requests lost that were passed on; ended %d times, at most %d kB of its own", daemon.Name, lost[n].Load(), ends[n].Load(), peaks[n])
		fmt.Printf("%s: %d requests lost that were passed on; ended %d times, at most %d kB of its own\n", daemon.Name, lost[n].Load(), ends[n].Load(), peaks[n])
		broken = broken || lost[n].Load() > maxLost
	}
	d.Record.Line("%d requests served, %d without an answer, %d with another status", served.Load(), unanswered.Load(), other.Load())
	fmt.Printf("%d requests served, %d without an answer, %d with another status\n", served.Load(), unanswered.Load(), other.Load())
	if !broken && served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return broken, nil
}

// postKept sends a short request over a channel of its own, and then one with a body over the same
// channel. kept reports whether the second one went over the channel that had brought an answer.
func postKept(entry, id string, body []byte) (status int, kept bool, err error) {
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if status, _, err := post(client, entry, id+"-first", []byte("tick\n")); err != nil || status != http.StatusOK {
		return status, false, err
	}
	return post(client, entry, id, body)
}

func post(client *http.Client, entry, id string, body []byte) (status int, kept bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "http://"+entry+"/tick/"+id, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, false, err
	}
	request.ContentLength = int64(len(body))
	request.Host = kit.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(slowLimit.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, kept, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, kept, err
}

// residentKB is the resident memory of a process without that of files, in kilobytes.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}
