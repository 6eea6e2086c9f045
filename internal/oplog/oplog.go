// Package oplog writes a daemon's log without ever blocking its parts: lines go
// through a bounded buffer to one writer. Lines that find the buffer full are
// dropped and counted, and the count is logged.
package oplog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// bufferLines bounds the lines that wait to be written: some seconds of a busy
// daemon's decisions.
const bufferLines = 4096

// Log is a log with a bounded buffer.
type Log struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	// closing guards lines against writes after Close.
	closing sync.RWMutex
	closed  bool
}

// New starts the writer to out.
func New(out io.Writer) *Log {
	l := &Log{out: out, lines: make(chan []byte, bufferLines)}
	l.done.Go(l.run)
	return l
}

// Logger returns a logger with JSON lines of at least the level.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}))
}

// Write takes over one line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed {
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Close writes what waits and ends the writer.
func (l *Log) Close() {
	l.closing.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closing.Unlock()
	l.done.Wait()
}

func (l *Log) run() {
	reported := int64(0)
	for line := range l.lines {
		// There is nowhere to report that the log can't be written.
		_, _ = l.out.Write(line)
		if dropped := l.Dropped(); dropped != reported && len(l.lines) == 0 {
			reported = dropped
			_, _ = fmt.Fprintf(l.out, `{"time":%q,"level":"WARN","msg":"log lines dropped","part":"log","total":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}
