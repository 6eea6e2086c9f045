package claim

import "sync"

// workCounter counts pending work and signals when none is left.
type workCounter struct {
	mu      sync.Mutex // guards the fields below; never held for long
	count   int
	waiters []chan struct{}
}

func (w *workCounter) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count += n
	if w.count < 0 {
		panic("claim: more work ended than was added")
	}
	if w.count == 0 {
		for _, waiter := range w.waiters {
			close(waiter)
		}
		w.waiters = nil
	}
}

// idle returns a channel that is closed once no work is pending.
func (w *workCounter) idle() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiter := make(chan struct{})
	if w.count == 0 {
		close(waiter)
		return waiter
	}
	w.waiters = append(w.waiters, waiter)
	return waiter
}
