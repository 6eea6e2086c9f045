package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/review/_src/kit"
)

const (
	// answerBytes is the length of the replicas' answers.
	answerBytes = 400 << 10
	// readPause is how long a slow client doesn't read in the middle of an answer.
	readPause = 5 * time.Second
	// readBuffer is the clients' receive buffer, as of a small device.
	readBuffer  = 64 << 10
	slowClients = 10
	slowLimit   = 15 * time.Second
)

// slowReader sends unsafe requests over kept channels, and pauses in reading their answers.
func slowReader(dir string, trouble bool) (broken bool, err error) {
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
	long := func(id string) []byte {
		return []byte(strings.Repeat(id+"\n", answerBytes/(len(id)+1)))
	}
	var replicas []*kit.Replica
	for n := range 3 {
		r, err := d.StartReplica(fmt.Sprintf("i-%04d", n), 60*time.Millisecond, long)
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
	time.Sleep(5 * time.Second)
	var lost, whole atomic.Int64
	var clients sync.WaitGroup
	for n := range slowClients {
		clients.Go(func() {
			entry := d.Daemons[n%len(d.Daemons)].Entry()
			conn, err := net.Dial("tcp4", entry)
			if err != nil {
				d.Record.Line("client %d: %v", n, err)
				return
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer)
			reader := bufio.NewReader(conn)
			for i := range 3 {
				id := fmt.Sprintf("s%02d-%d", n, i)
				pause := time.Duration(0)
				if trouble && i == 1 {
					pause = readPause
				}
				began := time.Now()
				err := postSlowly(conn, reader, id, pause, long(id))
				if err != nil {
					lost.Add(1)
					d.Record.Line("client %d: the channel of request %s ended without its whole answer after %d ms: %v", n, id, time.Since(began).Milliseconds(), err)
					return
				}
				whole.Add(1)
				d.Record.Line("client %d: request %s has its whole answer after %d ms", n, id, time.Since(began).Milliseconds())
			}
		})
	}
	clients.Wait()
	ran := 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			ran++
			d.Record.Line("%s has run %s, whole answer written: %t", r.ID, run.ID, run.Done)
		}
	}
	d.Record.Line("%d requests ran, %d whole answers, %d channels closed without one", ran, whole.Load(), lost.Load())
	fmt.Printf("%d requests ran, %d whole answers, %d channels closed without one\n", ran, whole.Load(), lost.Load())
	if whole.Load() < slowClients {
		return false, errors.New("too few whole answers")
	}
	return lost.Load() > 3, nil
}

// postSlowly sends a request over a kept channel and reads its answer, with a pause after the
// first bytes.
func postSlowly(conn net.Conn, reader *bufio.Reader, id string, pause time.Duration, want []byte) error {
	_, err := fmt.Fprintf(conn, "POST /tick/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\ntick\n", id, kit.Host, id, slowLimit.Milliseconds())
	if err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(slowLimit))
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	time.Sleep(pause)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%d of %d bytes: %w", len(body), len(want), err)
	}
	if response.StatusCode != http.StatusOK || string(body) != string(want) {
		return fmt.Errorf("status %d with %d bytes", response.StatusCode, len(body))
	}
	return nil
}
