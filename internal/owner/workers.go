package owner

import "sync"

// workers is a pool of goroutines with two task queues. Slow tasks, which may
// wait for a permit or a load, never occupy all goroutines, so they cannot
// delay reports, fences and unload intents.
type workers struct {
	mu          sync.Mutex
	wake        *sync.Cond
	quick       []func()
	slow        []func()
	slowRunning int
	maxSlow     int
	stopped     bool
	group       sync.WaitGroup
}

// newWorkers starts count goroutines, at least two.
func newWorkers(count int) *workers {
	w := &workers{maxSlow: max(count*3/4, 1)}
	w.wake = sync.NewCond(&w.mu)
	for range max(count, 2) {
		w.group.Go(w.run)
	}
	return w
}

// submit adds a task. It never blocks, so it may be called under tenure.mu.
func (w *workers) submit(slow bool, task func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slow {
		w.slow = append(w.slow, task)
	} else {
		w.quick = append(w.quick, task)
	}
	w.wake.Signal()
}

// stop ends the goroutines once all submitted tasks have run.
func (w *workers) stop() {
	w.mu.Lock()
	w.stopped = true
	w.wake.Broadcast()
	w.mu.Unlock()
	w.group.Wait()
}

func (w *workers) run() {
	for {
		task, slow := w.next()
		if task == nil {
			return
		}
		task()
		if slow {
			w.endSlow()
		}
	}
}

func (w *workers) next() (task func(), slow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if len(w.quick) > 0 {
			task, w.quick = w.quick[0], w.quick[1:]
			return task, false
		}
		if len(w.slow) > 0 && w.slowRunning < w.maxSlow {
			task, w.slow = w.slow[0], w.slow[1:]
			w.slowRunning++
			return task, true
		}
		if w.stopped && len(w.slow) == 0 {
			return nil, false
		}
		w.wake.Wait()
	}
}

func (w *workers) endSlow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowRunning--
	w.wake.Signal()
	if w.stopped {
		w.wake.Broadcast()
	}
}
