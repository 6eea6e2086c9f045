package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/dev"
	"github.com/barleylift/barleylift/internal/entry"
)

const (
	model = "summary-00@v1"
	// concurrentCalls is the number of calls that a batch makes at the same time.
	concurrentCalls = 64
	// minStepTime lets the stand-in engine decode as fast as possible.
	minStepTime = time.Nanosecond
	// slowStepTime keeps calls active while their memory is measured.
	slowStepTime = 50 * time.Millisecond
	// longCallTokens is more than any call generates before it is canceled.
	longCallTokens = 1 << 13
)

// caller sends streamed calls to one address.
type caller struct {
	client *http.Client
	url    string
}

func newCaller(address string) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxRunning}}, url: address + "/v1/completions"}
}

func (c *caller) open(ctx context.Context, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"wall","max_tokens":%d,"stream":true}`, model, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+dev.Token)
	request.Header.Set(entry.ProfileHeader, "summaries")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("status %s", response.Status)
	}
	return response, nil
}

// complete makes one call and reads its response to the end.
func (c *caller) complete(tokens int) error {
	response, err := c.open(context.Background(), tokens)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	done := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		done = done || lines.Text() == "data: [DONE]"
	}
	if !done {
		return errors.Join(errors.New("the stream ended without [DONE]"), lines.Err())
	}
	return nil
}

// completeAll makes a number of calls, up to concurrentCalls at the same time.
func (c *caller) completeAll(b *testing.B, calls, tokens int) {
	pending := make(chan struct{}, calls)
	for range calls {
		pending <- struct{}{}
	}
	close(pending)
	var group sync.WaitGroup
	for range min(calls, concurrentCalls) {
		group.Go(func() {
			for range pending {
				if err := c.complete(tokens); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
}

// batchUsage is the CPU time and the elapsed time of batches of calls.
type batchUsage struct {
	cpu, elapsed time.Duration
}

func (u *batchUsage) add(b *testing.B, c *caller, calls, tokens int) {
	startedAt, before := time.Now(), cpuTime(b)
	c.completeAll(b, calls, tokens)
	u.elapsed += time.Since(startedAt)
	u.cpu += cpuTime(b) - before
}

// BenchmarkModelCall alternates batches of calls through an entry and an owner
// on two daemons with batches sent directly to the engine. Both include the work
// of the caller and the stand-in; extra-cpu is the part of the daemons.
func BenchmarkModelCall(b *testing.B) {
	const batch = 256
	for _, tokens := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			p := newCallPath(b, minStepTime)
			direct, viaDaemons := newCaller(p.engine), newCaller(p.entry)
			direct.completeAll(b, concurrentCalls, tokens)
			viaDaemons.completeAll(b, concurrentCalls, tokens)
			var directUsage, daemonUsage batchUsage
			calls := 0
			b.ReportAllocs()
			for b.Loop() {
				directUsage.add(b, direct, batch, tokens)
				daemonUsage.add(b, viaDaemons, batch, tokens)
				calls += batch
			}
			n := float64(calls)
			b.ReportMetric(float64((daemonUsage.cpu-directUsage.cpu).Microseconds())/n, "extra-cpu-µs/call")
			b.ReportMetric(directUsage.elapsed.Seconds()/daemonUsage.elapsed.Seconds(), "throughput-ratio")
			b.ReportMetric(daemonUsage.cpu.Seconds()/directUsage.cpu.Seconds(), "cpu-ratio")
			b.ReportMetric(n/daemonUsage.elapsed.Seconds(), "calls/s")
			b.ReportMetric(n*float64(tokens)/daemonUsage.elapsed.Seconds(), "tokens/s")
		})
	}
}

// BenchmarkActiveCall reports the memory that streaming calls use in an entry and
// an owner on two daemons: the memory of calls through them minus that of the
// same calls sent directly to the engine.
func BenchmarkActiveCall(b *testing.B) {
	for _, active := range []int{64, 128, 256, 512} {
		b.Run(fmt.Sprintf("active=%d", active), func(b *testing.B) {
			p := newCallPath(b, slowStepTime)
			direct, viaDaemons := newCaller(p.engine), newCaller(p.entry)
			var extra float64
			for b.Loop() {
				extra = viaDaemons.activeCallMemory(b, active) - direct.activeCallMemory(b, active)
			}
			b.ReportMetric(extra/float64(active), "B/call")
			b.ReportMetric(extra, "B")
		})
	}
}

// activeCallMemory returns the bytes that active calls use in the whole process.
func (c *caller) activeCallMemory(b *testing.B, active int) float64 {
	c.completeAll(b, concurrentCalls, 1)
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	responses := make([]*http.Response, active)
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() {
			response, err := c.open(ctx, longCallTokens)
			if err != nil {
				b.Error(err)
				return
			}
			responses[i] = response
			if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	used := memoryInUse() - before
	cancel()
	for _, response := range responses {
		if response != nil {
			response.Body.Close()
		}
	}
	return used
}
