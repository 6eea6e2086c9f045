// Package oplog writes a daemon's log without ever blocking the callers: lines go
// through a bounded buffer to one writing goroutine. Lines are dropped and counted
// while the buffer is full, and the count is logged.
package oplog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// bufferLines is the capacity of the buffer, in lines. It holds some seconds of a
// busy daemon's log.
const bufferLines = 4096

// Log is a log with a bounded buffer.
type Log struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	// closeMu guards closed, so that no line is sent to lines after Close.
	closeMu sync.RWMutex
	closed  bool
}

// New returns a log and starts the goroutine that writes to out.
func New(out io.Writer) *Log {
	l := &Log{out: out, lines: make(chan []byte, bufferLines)}
	l.done.Go(l.run)
	return l
}

// Logger returns a logger that writes JSON lines of at least the level.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}))
}

// Write buffers a copy of one line, or drops it if the buffer is full or the log
// is closed. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	l.closeMu.RLock()
	defer l.closeMu.RUnlock()
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

// Dropped returns the number of lines dropped so far because the buffer was full.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Close writes the buffered lines and stops the writing goroutine.
func (l *Log) Close() {
	l.closeMu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closeMu.Unlock()
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
