package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
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
	bodyTime = 60 * time.Second
	// A slow replica reads readBytes of a body every readEvery.
	readBytes = 64 << 10
	readEvery = 125 * time.Millisecond
	// memoryMB is the daemons' memory, which the platform looks at every sampleEvery. A process
	// that ends is started again after restartAfter.
	memoryMB     = 284
	sampleEvery  = 20 * time.Millisecond
	restartAfter = time.Second
	// The rule is broken if endsEach processes end on endsMachines machines.
	endsEach     = 3
	endsMachines = 2
)

// bigBodies sends requests with long bodies to replicas that read slowly, and ends processes
// that exceed their memory as the platform does.
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
	for n := range replicaCount {
		r, err := d.StartReplica(fmt.Sprintf("i-%04d", n), replicaWork, kit.ShortBody)
		if err != nil {
			return false, err
		}
		if trouble {
			r.ReadSlowly(readBytes, readEvery)
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
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var platform, clients sync.WaitGroup
	ends := make([]int, len(d.Daemons))
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
				daemon.Signal(syscall.SIGKILL)
				daemon.Await()
				ends[n]++
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
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200}}
			for i := range int(bodyTime.Seconds()) * bodyRate {
				time.Sleep(time.Second / bodyRate)
				clients.Go(func() {
					id := fmt.Sprintf("b%d-%04d", n, i)
					status, err := postBody(client, daemon.Entry(), id, body)
					switch {
					case err != nil:
						unanswered.Add(1)
						d.Record.Line("request %s to %s has no answer: %v", id, daemon.Name, err)
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
	machines := 0
	for n, daemon := range d.Daemons {
		d.Record.Line("%s: ended %d times, at most %d kB of its own", daemon.Name, ends[n], peaks[n])
		if ends[n] >= endsEach {
			machines++
		}
	}
	d.Record.Line("%d requests served, %d without an answer, %d with another status", served.Load(), unanswered.Load(), other.Load())
	fmt.Printf("processes ended %v times, peaks %v kB; %d requests served, %d without an answer, %d with another status\n", ends, peaks, served.Load(), unanswered.Load(), other.Load())
	if served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return machines >= endsMachines, nil
}

func postBody(client *http.Client, entry, id string, body []byte) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/tick/"+id, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, err
	}
	request.ContentLength = int64(len(body))
	request.Host = kit.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(slowLimit.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
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
