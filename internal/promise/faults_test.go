package promise

import (
	"flag"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/dev"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/placement"
)

const faultsPage = "../../docs/FAULTS.md"

var update = flag.Bool("update", false, "write "+faultsPage)

// world is one cell's cluster. Daemon 0 is the entry of every call; ownerOf
// the call's engine or claim shard is another daemon.
type world struct {
	*dev.Cluster
	t *testing.T
	// owner is the number of the daemon that owns what the call needs.
	owner int
	// arrived gets a value when a tick reaches the service, which executes it
	// once release is closed.
	arrived chan struct{}
	release chan struct{}
}

// fault is a row of the matrix.
type fault struct {
	name   string
	inject func(w *world)
	// atService is what the plain service does wrong with ticks.
	atService fake.ServiceFault
}

func eachEngine(do func(e *fake.Engine)) func(*world) {
	return func(w *world) {
		for _, e := range w.Engines {
			do(e)
		}
	}
}

func both(first, second func(*world)) func(*world) {
	return func(w *world) {
		first(w)
		second(w)
	}
}

func kvDown(w *world)      { w.KV.SetDown(true) }
func leaseLapses(w *world) { w.KV.ExpireAllLeases() }
func ownerKilled(w *world) { w.Daemons[w.owner].Kill() }
func engineRestarts(w *world) {
	eachEngine(func(e *fake.Engine) { e.Restart() })(w)
}

var faults = []fault{
	{name: "none", inject: func(*world) {}},
	{name: "engine restarts cold", inject: engineRestarts},
	{name: "load fails", inject: eachEngine(func(e *fake.Engine) { e.FailLoads(1) })},
	{name: "order reply lost", inject: eachEngine(func(e *fake.Engine) { e.LoseOrderResponses(1) })},
	{name: "engine answers late", inject: eachEngine(func(e *fake.Engine) { e.SetDelay(300 * time.Millisecond) })},
	{name: "answer crossed", inject: eachEngine(func(e *fake.Engine) { e.MisrouteResponses(1) })},
	{name: "answer cut", inject: eachEngine(func(e *fake.Engine) { e.CutNextStream(2) }), atService: fake.FaultTruncateResponse},
	{name: "wrong model", inject: eachEngine(func(e *fake.Engine) { e.RunWrongModel(1) })},
	{name: "connections go silent", inject: func(w *world) {
		eachEngine(func(e *fake.Engine) { e.StallConnections() })(w)
		w.Service.StallConnections()
	}},
	{name: "service refuses", atService: fake.FaultRefuse},
	{name: "service closes, not executed", atService: fake.FaultCloseUnexecuted},
	{name: "service closes, executed", atService: fake.FaultCloseExecuted},
	{name: "key-value service down", inject: kvDown},
	{name: "key-value service slow", inject: func(w *world) { w.KV.SetDelay(400 * time.Millisecond) }},
	{name: "key-value reply lost", inject: func(w *world) { w.KV.LoseTxnResponses(1, nil) }},
	{name: "lease lapses, holder goes on", inject: leaseLapses},
	{name: "owner killed", inject: ownerKilled},
	{name: "entry killed", inject: func(w *world) { w.Daemons[0].Kill() }},
	{name: "upstream leaves", inject: func(w *world) { w.SetVMs(0, 1) }},
	{name: "configuration changes", inject: (*world).change},
	{name: "owner killed and key-value service down", inject: both(ownerKilled, kvDown)},
	{name: "engine restarts and lease lapses", inject: both(engineRestarts, leaseLapses)},
}

// change accepts a configuration with one adapter more.
func (w *world) change() {
	changed := w.Contents
	changed.Adapters = append(slices.Clip(changed.Adapters),
		catalog.Adapter{Name: dev.AdapterName(90), BaseModel: dev.BaseModel, Versions: []string{"v1"}})
	if _, err := catalog.Apply(w.t.Context(), w.KV, changed, nil); err != nil {
		w.t.Error(err)
	}
}

// The steps of a call.
const (
	beforeSending = "model call, before sending"
	waitingLoad   = "model call, waiting for its load"
	afterToken    = "model call, after the first token"
	beforeCommit  = "keyed call, before the commit"
	afterCommit   = "keyed call, after the commit"
	askedAgain    = "keyed call, asked again"
)

// step is a column of the matrix: it brings a call to a point, injects the
// fault there and returns what the caller was told.
type step struct {
	name string
	run  func(w *world, f fault) said
}

var steps = []step{
	{beforeSending, func(w *world, f fault) said {
		model := w.modelOwnedElsewhere()
		w.injectNow(f)
		return w.stream(model, 20, nil)
	}},
	{waitingLoad, func(w *world, f fault) said {
		model := w.modelOwnedElsewhere()
		return w.during(f, func() said { return w.stream(model, 20, nil) }, func() {
			await(w.t, func() bool { return w.Store.PeakLoads() > 0 })
		})
	}},
	{afterToken, func(w *world, f fault) said {
		model := w.modelOwnedElsewhere()
		first := make(chan struct{})
		return w.during(f, func() said { return w.stream(model, 400, first) }, func() { <-first })
	}},
	{beforeCommit, func(w *world, f fault) said {
		key := w.keyOwnedElsewhere()
		w.injectNow(f)
		close(w.release)
		return w.tick(key)
	}},
	{afterCommit, func(w *world, f fault) said {
		key := w.keyOwnedElsewhere()
		return w.during(f, func() said { return w.tick(key) }, func() { <-w.arrived })
	}},
	{askedAgain, func(w *world, f fault) said {
		key := w.keyOwnedElsewhere()
		close(w.release)
		w.tick(key)
		w.injectNow(f)
		return w.tick(key)
	}},
}

func (w *world) injectNow(f fault) {
	if f.inject != nil {
		f.inject(w)
	}
}

// during injects the fault once the call has reached its point.
func (w *world) during(f fault, run func() said, reached func()) said {
	var answer said
	var group sync.WaitGroup
	group.Go(func() { answer = run() })
	reached()
	w.injectNow(f)
	if w.release != nil {
		close(w.release)
	}
	group.Wait()
	return answer
}

func (w *world) stream(model string, tokens int, first chan struct{}) said {
	answer := complete(w.t.Context(), modelCall{address: w.Daemons[0].EntryAddress(), model: model, tokens: tokens, first: first})
	if answer.err == nil {
		checkAnswer(w.t, 0, answer, model, tokens)
	}
	if answer.outcome == call.NotRun && w.runs(model) > 0 {
		w.t.Errorf("%s was told not_run and ran", model)
	}
	return answer
}

func (w *world) runs(model string) int {
	runs := 0
	for _, e := range w.Engines {
		runs += e.CountRecords("run", model)
	}
	return runs
}

func (w *world) tick(key string) said {
	answer := tick(w.t.Context(), w.Daemons[0].EntryAddress(), key)
	executed := executionsByKey(w.Service)[key]
	if executed > 1 {
		w.t.Errorf("the tick took effect %d times", executed)
	}
	if answer.outcome == call.NotRun && executed > 0 {
		w.t.Error("the tick was told not_run and took effect")
	}
	return answer
}

// modelOwnedElsewhere returns a cold model whose first engine daemon 0 does not own.
func (w *world) modelOwnedElsewhere() string {
	var candidates []placement.Candidate
	for _, e := range w.Contents.Engines {
		candidates = append(candidates, placement.Candidate{Engine: e.Name})
	}
	for n := range w.Contents.Adapters {
		name := dev.AdapterName(n)
		if w.ownedElsewhere(ownership.KindEngine, placement.Rank(candidates, name, 1)[0].Engine) {
			return name + "@v1"
		}
	}
	w.t.Fatal("daemon 0 owns every engine")
	return ""
}

func (w *world) keyOwnedElsewhere() string {
	for n := range 100 {
		key := "key-" + dev.AdapterName(n)
		if w.ownedElsewhere(ownership.KindClaim, claim.Shard("gym", "tick", key)) {
			return key
		}
	}
	w.t.Fatal("daemon 0 owns every shard")
	return ""
}

func (w *world) ownedElsewhere(kind ownership.Kind, id string) bool {
	owner, ok := w.Daemons[0].View().Owner(kind, id)
	for i, d := range w.Daemons {
		if ok && i > 0 && d.View().Self().Name == owner.Member {
			w.owner = i
			return true
		}
	}
	return false
}

func newWorld(t *testing.T, f fault) *world {
	w := &world{t: t, arrived: make(chan struct{}, 8), release: make(chan struct{})}
	w.Cluster = start(t, dev.Options{
		StepTime: 2 * time.Millisecond, EnginesPerZone: 1, LoadsPerSecond: 4, LeaseTTL: 2 * time.Second,
		ServiceFault: func(r *http.Request) fake.ServiceFault {
			w.arrived <- struct{}{}
			<-w.release
			return f.atService
		},
	})
	return w
}

// told is a set of outcomes that a caller may be told; lost means that its own
// connection ended.
type told []call.Outcome

const lost call.Outcome = ""

func (o told) String() string {
	names := make([]string, len(o))
	for i, outcome := range o {
		names[i] = string(outcome)
		if outcome == lost {
			names[i] = "connection lost"
		}
	}
	return strings.Join(names, " or ")
}

// exceptions are the cells in which a caller may be told something else than
// done. An empty step stands for all steps.
var exceptions = []struct {
	fault, step string
	may         told
}{
	{"load fails", "", told{call.Done, call.NotRun}},
	{"engine restarts cold", afterToken, told{call.Incomplete}},
	{"engine restarts and lease lapses", afterToken, told{call.Incomplete}},
	{"answer cut", beforeCommit, told{call.Incomplete}},
	{"answer cut", afterCommit, told{call.Incomplete}},
	{"answer cut", askedAgain, told{call.Incomplete}},
	{"service refuses", "", told{call.NotRun}},
	{"service closes, not executed", "", told{call.Unknown}},
	{"service closes, executed", "", told{call.Unknown}},
	{"key-value service down", beforeCommit, told{call.NotRun}},
	{"owner killed", afterToken, told{call.Incomplete}},
	{"owner killed", afterCommit, told{call.Unknown}},
	{"owner killed", askedAgain, told{call.Done, call.Unknown}},
	{"owner killed and key-value service down", afterToken, told{call.Incomplete}},
	{"owner killed and key-value service down", beforeCommit, told{call.NotRun, call.Unknown}},
	{"owner killed and key-value service down", afterCommit, told{call.Unknown}},
	{"owner killed and key-value service down", askedAgain, told{call.Done, call.Unknown}},
	{"lease lapses, holder goes on", askedAgain, told{call.Done, call.Unknown}},
	{"engine restarts and lease lapses", askedAgain, told{call.Done, call.Unknown}},
	{"entry killed", "", told{lost}},
}

func allowed(f fault, s step) told {
	for _, e := range exceptions {
		if e.fault == f.name && (e.step == "" || e.step == s.name) {
			return e.may
		}
	}
	return told{call.Done}
}

// impossible tells why a cell cannot occur; empty if it can.
func impossible(f fault, s step) string {
	model := strings.HasPrefix(s.name, "model")
	ofEngines := []string{"engine restarts cold", "load fails", "order reply lost", "engine answers late", "answer crossed", "wrong model", "upstream leaves"}
	atBegin := []string{"load fails", "order reply lost", "answer crossed", "answer cut", "wrong model"}
	switch {
	case f.inject == nil && model:
		return "a model call meets no plain service"
	case f.inject == nil && s.name == askedAgain:
		return "the service is not called again"
	case s.name == afterToken && slices.Contains(atBegin, f.name):
		return "happens at the begin of an answer or of a load"
	case !model && slices.Contains(ofEngines, f.name):
		return "a plain call meets no engine"
	}
	return ""
}

// TestFaultMatrix brings each call to each step, lets each fault happen there
// and compares what the caller is told, and what the stand-ins saw, with the
// page, which it also checks to be current.
func TestFaultMatrix(t *testing.T) {
	page := faultsText()
	if *update {
		if err := os.WriteFile(faultsPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if written, err := os.ReadFile(faultsPage); err != nil || string(written) != page {
		t.Errorf("%s is not current; run go test -run TestFaultMatrix ./internal/promise -update (%v)", faultsPage, err)
	}
	for _, f := range faults {
		for _, s := range steps {
			if impossible(f, s) != "" {
				continue
			}
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, f)
				answer := s.run(w, f)
				if may := allowed(f, s); !slices.Contains(may, answer.outcome) || (answer.err != nil) != (answer.outcome == lost) {
					t.Errorf("the caller was told %q (%v), status %d, %q, want %v", answer.outcome, answer.err, answer.status, answer.text, may)
				}
				noViolations(t, w.Cluster)
			})
		}
	}
}

// faultsText renders the matrix as the operators' page.
func faultsText() string {
	var b strings.Builder
	b.WriteString(`# What a caller is told under each fault

This page is written by the test that injects the faults
(` + "`go test -run TestFaultMatrix ./internal/promise -update`" + `) and CI checks that it is
current. Each row is a fault, each column the step at which it happens; a cell
holds every outcome that the caller may be told for that one call without a retry
of its own. Whatever the cell says, the test also checks by the stand-ins' own
records that a call told not_run did not run, that a tick took effect at most
once, that a done stream is the whole text of its own request on the model that
it named, and that no adapter was unloaded while a call ran on it. The call's
entry is one daemon; the owner of its engine or claim shard is another.

`)
	b.WriteString("| fault |")
	for _, s := range steps {
		b.WriteString(" " + s.name + " |")
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	for _, f := range faults {
		b.WriteString("| " + f.name + " |")
		for _, s := range steps {
			if why := impossible(f, s); why != "" {
				b.WriteString(" cannot occur: " + why + " |")
				continue
			}
			b.WriteString(" " + allowed(f, s).String() + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
