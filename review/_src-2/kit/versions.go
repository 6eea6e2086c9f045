package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// versionEngines is the number of engines.
	versionEngines = 20
	// hotAdapter gets hotShare of the requests, and is the one of which versions are named.
	hotAdapter = 1
	hotShare   = 0.15
	// otherAdapters is the number of the adapters that get the rest.
	otherAdapters = 60
	// newVersions are named one after the other, versionInterval apart, or slowInterval without the
	// quick succession.
	newVersions     = 6
	versionInterval = 1600 * time.Millisecond
	slowInterval    = 3 * time.Second
	// versionBound is version_ms.
	versionBound = 5 * time.Second
)

// namedVersion is a version of the hot adapter and when the store acknowledged it.
type namedVersion struct {
	version int64
	at      time.Time
}

// versions names versions of an adapter in quick succession. No request may begin on a version
// later than versionBound after a newer one was acknowledged.
func versions(r *record, program string, trouble bool) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "review-9-")
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
	runs, newest := &runLog{}, &newestVersions{byAdapter: make(map[string]int64)}
	for n := range versionEngines {
		if _, err := startEngine(n, s, &orderLog{}, runs, newest); err != nil {
			return false, err
		}
	}
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
		if err := d.awaitReady(); err != nil {
			return false, err
		}
		sending.Go(func() { d.sendNotes(ctx, &sending, hotOrOther) })
	}
	time.Sleep(12 * time.Second)
	interval := versionInterval
	if !trouble {
		interval = slowInterval
	}
	var named []namedVersion
	for n := range int64(newVersions) {
		v := namedVersion{version: n + 2}
		adapter := fmt.Sprintf("a%d", hotAdapter)
		newest.set(adapter, v.version)
		s.put("op/version/"+model+"."+adapter, object{"model": model, "adapter": adapter, "version": v.version})
		v.at = time.Now()
		named = append(named, v)
		r.note("version %d of %s is acknowledged", v.version, adapter)
		time.Sleep(interval)
	}
	time.Sleep(6 * time.Second)
	all := runs.all()
	if len(all) == 0 {
		return false, errors.New("no request ran")
	}
	return r.judgeVersions(all, named), nil
}

// hotOrOther returns the number of the adapter of a request.
func hotOrOther() int {
	if rand.Float64() < hotShare {
		return hotAdapter
	}
	return hotAdapter + 1 + rand.IntN(otherAdapters)
}

// judgeVersions writes the runs of the hot adapter, and reports whether one began on a version too
// long after a newer one was acknowledged.
func (r *record) judgeVersions(runs []adapterRun, named []namedVersion) (broken bool) {
	byVersion := make(map[int64]int)
	late := 0
	for _, run := range runs {
		if run.adapter != fmt.Sprintf("a%d", hotAdapter) {
			continue
		}
		byVersion[run.version]++
		r.note("%s began at %.3f s on version %d at %s", run.request, run.at.Sub(r.began).Seconds(), run.version, run.engine)
		for _, v := range named {
			if after := run.at.Sub(v.at); v.version > run.version && after > versionBound {
				late++
				r.note("%s began on version %d, %d ms after version %d was acknowledged", run.request, run.version, after.Milliseconds(), v.version)
				break
			}
		}
	}
	r.note("runs by version: %v", byVersion)
	r.note("runs that began on a version later than %v after a newer one was acknowledged: %d", versionBound, late)
	return late > 0
}
