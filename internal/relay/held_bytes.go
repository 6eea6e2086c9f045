package relay

import (
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// defaultMaxHeldBytes applies if Config.MaxHeldBytes is 0.
	defaultMaxHeldBytes = 32 << 20
	// freeHeldBytes is what each request may hold of an answer in any case: more than most
	// answers and events have.
	freeHeldBytes = 4 << 10
)

// heldBytes is what one request holds of an upstream's answer, out of a bound for all requests
// of the relay. It is not safe for concurrent use; bound is.
type heldBytes struct {
	bound *semaphore.Weighted
	taken int64
}

// grow reports whether the request may hold a number of bytes, and takes them if so.
func (h *heldBytes) grow(bytes int) bool {
	more := int64(bytes) - freeHeldBytes - h.taken
	if more <= 0 {
		return true
	}
	if !h.bound.TryAcquire(more) {
		return false
	}
	h.taken += more
	return true
}

// release gives back what the request has taken.
func (h *heldBytes) release() {
	h.bound.Release(h.taken)
	h.taken = 0
}

// readBeginning reads a body up to its end, a number of bytes or what the request may hold,
// whichever comes first. complete is set at its end.
func (h *heldBytes) readBeginning(body io.Reader, maxBytes int) (read []byte, complete bool, err error) {
	read = make([]byte, 0, min(freeHeldBytes, maxBytes))
	for {
		if len(read) == cap(read) {
			size := min(2*cap(read), maxBytes)
			if size == len(read) || !h.grow(size) {
				return read, false, nil
			}
			read = append(make([]byte, 0, size), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case err == io.EOF:
			return read, true, nil
		case err != nil:
			return read, false, err
		}
	}
}
