// Command kit plays the scripts of the second review: it starts stand-ins of the
// platform's store and of a service in this process, and the project's daemons as
// processes of their own, all on loopback addresses.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the script
// could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit SCENARIO RECORD PROGRAM")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	scenarios := map[string]func(r *record, program string, trouble bool) (broken bool, err error){
		"frozen-holder": frozenHolder,
		"revoked-key":   revokedKey,
		"versions":      versions,
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		return exitNotRun
	}
	go running.killAtSignal()
	broken, err := play(r, os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		return exitBroken
	default:
		r.note("the rule held")
		return exitHeld
	}
}

// record writes what happened, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
