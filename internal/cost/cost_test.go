package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var key = Key{"r", "c"}

// Guards against answers before anything is known that differ from the stated ones, and
// against inputs of callers that break an estimate.
func TestEstimateWithoutObservations(t *testing.T) {
	tests := []struct {
		name    string
		request Request
		want    Estimate
	}{
		{"nothing stated", Request{}, Estimate{PromptTokens: 1200, OutputTokens: 170, MemoryTokens: 1800}},
		{"a hint", Request{PromptTokens: 100, Hint: 40}, Estimate{PromptTokens: 100, OutputTokens: 40, MemoryTokens: 200}},
		{"a limit", Request{PromptTokens: 100, Hint: 40, MaxOutputTokens: 30}, Estimate{PromptTokens: 100, OutputTokens: 30, MemoryTokens: 130}},
		{"negative numbers", Request{PromptTokens: -1, Hint: -5, MaxOutputTokens: -3}, Estimate{PromptTokens: 1200, OutputTokens: 170, MemoryTokens: 1800}},
	}
	for _, test := range tests {
		got := NewEstimator().Estimate(time.Hour, key, test.request)
		if abs(got.OutputTokens-test.want.OutputTokens) > 1 || abs(got.MemoryTokens-test.want.MemoryTokens) > 1 || got.PromptTokens != test.want.PromptTokens || got.Observations != 0 {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

func abs(n int) int { return max(n, -n) }

// Guards against an estimate that a few hints far off move: outputs are heavy-tailed, and
// hints of this route are half of the output at the median.
func TestHintIsCorrectedByWhatWasSeen(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := NewEstimator()
	now := time.Duration(0)
	for range 500 {
		now += time.Second / 4
		output := 1 + int(120*math.Exp(0.9*random.NormFloat64()))
		hint := max(output/2, 1)
		if random.IntN(3) == 0 {
			hint = 1 + random.IntN(600)
		}
		e.RecordOutput(now, key, Request{Hint: hint}, output)
	}
	for _, hint := range []int{20, 200} {
		got := e.Estimate(now, key, Request{Hint: hint})
		if ratio := float64(got.OutputTokens) / float64(hint); ratio < 1.5 || ratio > 2.3 {
			t.Errorf("%d output tokens for a hint of %d, want about twice", got.OutputTokens, hint)
		}
	}
	if got := e.Estimate(now, key, Request{}); got.OutputTokens < 100 || got.OutputTokens > 145 || got.MemoryTokens < 1200+250 {
		t.Errorf("without a hint %+v, want about 120 output tokens", got)
	}
}

// Guards against memories that never change, and against a record of another route or
// customer.
func TestObservationsAreForgotten(t *testing.T) {
	e := NewEstimator()
	for i := range 100 {
		e.RecordOutput(time.Duration(i)*time.Second, key, Request{}, 20)
	}
	before := e.Estimate(100*time.Second, key, Request{}).OutputTokens
	later := e.Estimate(2*time.Hour, key, Request{}).OutputTokens
	other := e.Estimate(100*time.Second, Key{"r", "d"}, Request{}).OutputTokens
	if before > 30 || abs(later-170) > 1 || abs(other-170) > 1 {
		t.Errorf("%d tokens of 20 seen, %d two hours later, %d of another customer", before, later, other)
	}
}

// Guards against state that grows with routes and customers.
func TestRecordsAreBounded(t *testing.T) {
	e := NewEstimator()
	for i := range 4 * maxKeys {
		e.RecordOutput(time.Duration(i)*time.Second, Key{fmt.Sprint(i), ""}, Request{Hint: 1}, 10)
	}
	if len(e.records) > maxKeys {
		t.Errorf("%d records, want at most %d", len(e.records), maxKeys)
	}
	if e.records[Key{fmt.Sprint(4*maxKeys - 1), ""}] == nil {
		t.Error("the last record was dropped")
	}
}

// Guards against parts counted as kept that the engine can't use: behind another beginning,
// of another adapter, or sent long ago.
func TestUnreadTokens(t *testing.T) {
	parts := func(ids ...uint64) []Part {
		var parts []Part
		for _, id := range ids {
			parts = append(parts, Part{id, 100})
		}
		return parts
	}
	var p Prompts
	p.RecordSent(0, Links("a", parts(1, 2, 3)))
	tests := []struct {
		name    string
		at      time.Duration
		adapter string
		parts   []Part
		want    int
	}{
		{"the same beginning", time.Second, "a", parts(1, 2, 9), 300},
		{"the whole prompt", time.Second, "a", parts(1, 2, 3), 200},
		{"another beginning", time.Second, "a", parts(9, 2, 3), 500},
		{"another adapter", time.Second, "b", parts(1, 2, 3), 500},
		{"long ago", keptFor + time.Second, "a", parts(1, 2, 3), 500},
		{"no parts", time.Second, "a", nil, 500},
		{"more tokens than the prompt has", time.Second, "a", []Part{{1, 100}, {2, 900}}, 1},
	}
	for _, test := range tests {
		if got := p.Unread(test.at, 500, Links(test.adapter, test.parts)); got != test.want {
			t.Errorf("%s: %d tokens unread, want %d", test.name, got, test.want)
		}
	}
	if got := p.Unread(time.Second, 50, Links("a", parts(1))); got != 1 {
		t.Errorf("%d tokens unread of a prompt shorter than its part, want 1", got)
	}
}

// Guards against state that grows with prompts.
func TestPromptsAreBounded(t *testing.T) {
	var p Prompts
	for i := range uint64(4 * maxKept) {
		p.RecordSent(time.Duration(i), Links("a", []Part{{i, 10}}))
	}
	if len(p.sentAt) > maxKept || len(p.order) > maxKept {
		t.Errorf("%d parts remembered, want at most %d", len(p.sentAt), maxKept)
	}
	if got := p.Unread(0, 100, Links("a", []Part{{4*maxKept - 1, 10}})); got != 90 {
		t.Errorf("%d tokens unread, the last prompt was dropped", got)
	}
	if n := len(Links("a", make([]Part, 5000))); n > maxLinks {
		t.Errorf("%d links", n)
	}
}
