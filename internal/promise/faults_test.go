package promise

import (
	"flag"
	"net/http"
	"os"
	"path/filepath"
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

// cell is the cluster of one cell of the matrix. Daemon 0 is the entry of every
// call; the owner of the call's engine or claim shard is another daemon.
type cell struct {
	*dev.Cluster
	t *testing.T
	// owner is the index of the daemon that owns the call's engine or claim shard.
	owner int
	// tickArrived receives a value when a tick reaches the service, which executes
	// the tick once releaseTicks is closed.
	tickArrived  chan struct{}
	releaseTicks chan struct{}
}

// fault is a row of the matrix.
type fault struct {
	name   string
	inject func(c *cell)
	// serviceFault is the fault of the plain service with ticks.
	serviceFault fake.ServiceFault
}

func onEachEngine(do func(e *fake.Engine)) func(*cell) {
	return func(c *cell) {
		for _, e := range c.Engines {
			do(e)
		}
	}
}

func injectBoth(first, second func(*cell)) func(*cell) {
	return func(c *cell) {
		first(c)
		second(c)
	}
}

func takeKVDown(c *cell)   { c.KV.SetDown(true) }
func expireLeases(c *cell) { c.KV.ExpireAllLeases() }
func killOwner(c *cell)    { c.Daemons[c.owner].Kill() }
func restartEngines(c *cell) {
	onEachEngine(func(e *fake.Engine) { e.Restart() })(c)
}

var faults = []fault{
	{name: "none", inject: func(*cell) {}},
	{name: "engine restarts cold", inject: restartEngines},
	{name: "load fails", inject: onEachEngine(func(e *fake.Engine) { e.FailLoads(1) })},
	{name: "order reply lost", inject: onEachEngine(func(e *fake.Engine) { e.LoseOrderResponses(1) })},
	{name: "engine answers late", inject: onEachEngine(func(e *fake.Engine) { e.SetDelay(300 * time.Millisecond) })},
	{name: "answer crossed", inject: onEachEngine(func(e *fake.Engine) { e.MisrouteResponses(1) })},
	{name: "answer cut", inject: onEachEngine(func(e *fake.Engine) { e.CutNextStream(2) }), serviceFault: fake.FaultTruncateResponse},
	{name: "wrong model", inject: onEachEngine(func(e *fake.Engine) { e.RunWrongModel(1) })},
	{name: "connections go silent", inject: func(c *cell) {
		onEachEngine(func(e *fake.Engine) { e.StallConnections() })(c)
		c.Service.StallConnections()
	}},
	{name: "service refuses", serviceFault: fake.FaultRefuse},
	{name: "service closes, not executed", serviceFault: fake.FaultCloseUnexecuted},
	{name: "service closes, executed", serviceFault: fake.FaultCloseExecuted},
	{name: "key-value service down", inject: takeKVDown},
	{name: "key-value service slow", inject: func(c *cell) { c.KV.SetDelay(400 * time.Millisecond) }},
	{name: "key-value reply lost", inject: func(c *cell) { c.KV.LoseTxnResponses(1, nil) }},
	{name: "lease lapses, holder goes on", inject: expireLeases},
	{name: "owner killed", inject: killOwner},
	{name: "entry killed", inject: func(c *cell) { c.Daemons[0].Kill() }},
	{name: "upstream leaves", inject: func(c *cell) { c.SetVMs(0, 1) }},
	{name: "configuration changes", inject: (*cell).changeConfiguration},
	{name: "owner killed and key-value service down", inject: injectBoth(killOwner, takeKVDown)},
	{name: "engine restarts and lease lapses", inject: injectBoth(restartEngines, expireLeases)},
}

// changeConfiguration applies a configuration with one more adapter.
func (c *cell) changeConfiguration() {
	contents := c.Contents
	contents.Adapters = append(slices.Clip(contents.Adapters),
		catalog.Adapter{Name: dev.AdapterName(90), BaseModel: dev.BaseModel, Versions: []string{"v1"}})
	if _, err := catalog.Apply(c.t.Context(), c.KV, contents, nil); err != nil {
		c.t.Error(err)
	}
}

// The steps of a call.
const (
	beforeSending   = "model call, before sending"
	waitingForLoad  = "model call, waiting for its load"
	afterFirstToken = "model call, after the first token"
	beforeCommit    = "keyed call, before the commit"
	afterCommit     = "keyed call, after the commit"
	repeatedCall    = "keyed call, asked again"
)

// step is a column of the matrix: it makes a call, injects the fault at one
// point of it and returns the call's result.
type step struct {
	name string
	run  func(c *cell, f fault) callResult
}

var steps = []step{
	{beforeSending, func(c *cell, f fault) callResult {
		model := c.modelOwnedElsewhere()
		c.inject(f)
		return c.stream(model, 20, nil)
	}},
	{waitingForLoad, func(c *cell, f fault) callResult {
		model := c.modelOwnedElsewhere()
		return c.injectDuring(f, func() callResult { return c.stream(model, 20, nil) }, func() {
			await(c.t, func() bool { return c.Store.PeakLoads() > 0 })
		})
	}},
	{afterFirstToken, func(c *cell, f fault) callResult {
		model := c.modelOwnedElsewhere()
		first := make(chan struct{})
		return c.injectDuring(f, func() callResult { return c.stream(model, 400, first) }, func() { <-first })
	}},
	{beforeCommit, func(c *cell, f fault) callResult {
		key := c.keyOwnedElsewhere()
		c.inject(f)
		close(c.releaseTicks)
		return c.tick(key)
	}},
	{afterCommit, func(c *cell, f fault) callResult {
		key := c.keyOwnedElsewhere()
		return c.injectDuring(f, func() callResult { return c.tick(key) }, func() { <-c.tickArrived })
	}},
	{repeatedCall, func(c *cell, f fault) callResult {
		key := c.keyOwnedElsewhere()
		close(c.releaseTicks)
		c.tick(key)
		c.inject(f)
		return c.tick(key)
	}},
}

func (c *cell) inject(f fault) {
	if f.inject != nil {
		f.inject(c)
	}
}

// injectDuring starts the call, injects the fault when reached returns, and then
// releases the ticks.
func (c *cell) injectDuring(f fault, run func() callResult, reached func()) callResult {
	var result callResult
	var group sync.WaitGroup
	group.Go(func() { result = run() })
	reached()
	c.inject(f)
	if c.releaseTicks != nil {
		close(c.releaseTicks)
	}
	group.Wait()
	return result
}

func (c *cell) stream(model string, tokens int, first chan struct{}) callResult {
	result := complete(c.t.Context(), modelCall{address: c.Daemons[0].EntryAddress(), model: model, tokens: tokens, firstChunk: first})
	if result.err == nil {
		checkResult(c.t, 0, result, model, tokens)
	}
	if result.outcome == call.NotRun && c.runCount(model) > 0 {
		c.t.Errorf("the call for %s ended with outcome not_run but ran", model)
	}
	return result
}

func (c *cell) runCount(model string) int {
	runs := 0
	for _, e := range c.Engines {
		runs += e.CountRecords("run", model)
	}
	return runs
}

func (c *cell) tick(key string) callResult {
	result := tick(c.t.Context(), c.Daemons[0].EntryAddress(), key)
	executed := executionsByKey(c.Service)[key]
	if executed > 1 {
		c.t.Errorf("the tick was executed %d times", executed)
	}
	if result.outcome == call.NotRun && executed > 0 {
		c.t.Error("the tick ended with outcome not_run but was executed")
	}
	return result
}

// modelOwnedElsewhere returns a model that no engine has loaded and whose
// first-ranked engine is owned by another daemon than 0.
func (c *cell) modelOwnedElsewhere() string {
	var candidates []placement.Candidate
	for _, e := range c.Contents.Engines {
		candidates = append(candidates, placement.Candidate{Engine: e.Name})
	}
	for n := range c.Contents.Adapters {
		name := dev.AdapterName(n)
		if c.ownedElsewhere(ownership.KindEngine, placement.Rank(candidates, name, 1)[0].Engine) {
			return name + "@v1"
		}
	}
	c.t.Fatal("daemon 0 owns every engine")
	return ""
}

func (c *cell) keyOwnedElsewhere() string {
	for n := range 100 {
		key := "key-" + dev.AdapterName(n)
		if c.ownedElsewhere(ownership.KindClaim, claim.Shard("gym", "tick", key)) {
			return key
		}
	}
	c.t.Fatal("daemon 0 owns every shard")
	return ""
}

func (c *cell) ownedElsewhere(kind ownership.Kind, id string) bool {
	owner, ok := c.Daemons[0].View().Owner(kind, id)
	for i, d := range c.Daemons {
		if ok && i > 0 && d.View().Self().Name == owner.Member {
			c.owner = i
			return true
		}
	}
	return false
}

func newCell(t *testing.T, f fault) *cell {
	c := &cell{t: t, tickArrived: make(chan struct{}, 8), releaseTicks: make(chan struct{})}
	c.Cluster = startCluster(t, dev.Options{
		StepTime: 2 * time.Millisecond, EnginesPerZone: 1, LoadsPerSecond: 4, LeaseTTL: 2 * time.Second,
		ServiceFault: func(r *http.Request) fake.ServiceFault {
			c.tickArrived <- struct{}{}
			<-c.releaseTicks
			return f.serviceFault
		},
	})
	return c
}

// outcomeSet is the set of outcomes that a call may have.
type outcomeSet []call.Outcome

// lost stands for the loss of the caller's own connection.
const lost call.Outcome = ""

func (s outcomeSet) String() string {
	texts := make([]string, len(s))
	for i, outcome := range s {
		texts[i] = string(outcome)
		if outcome == lost {
			texts[i] = "connection lost"
		}
	}
	return strings.Join(texts, " or ")
}

// exceptions are the cells that allow other outcomes than done alone. An empty
// step stands for all steps; the first matching line applies.
var exceptions = []struct {
	fault, step string
	outcomes    outcomeSet
}{
	{"load fails", "", outcomeSet{call.Done, call.NotRun}},
	{"engine restarts cold", afterFirstToken, outcomeSet{call.Incomplete}},
	{"engine restarts and lease lapses", afterFirstToken, outcomeSet{call.Incomplete}},
	{"answer cut", beforeCommit, outcomeSet{call.Incomplete}},
	{"answer cut", afterCommit, outcomeSet{call.Incomplete}},
	{"answer cut", repeatedCall, outcomeSet{call.Incomplete}},
	{"service refuses", "", outcomeSet{call.NotRun}},
	{"service closes, not executed", "", outcomeSet{call.Unknown}},
	{"service closes, executed", "", outcomeSet{call.Unknown}},
	{"key-value service down", beforeCommit, outcomeSet{call.NotRun}},
	{"owner killed", afterFirstToken, outcomeSet{call.Incomplete}},
	{"owner killed", afterCommit, outcomeSet{call.Unknown}},
	{"owner killed", repeatedCall, outcomeSet{call.Done, call.Unknown}},
	{"owner killed and key-value service down", afterFirstToken, outcomeSet{call.Incomplete}},
	{"owner killed and key-value service down", beforeCommit, outcomeSet{call.NotRun, call.Unknown}},
	{"owner killed and key-value service down", afterCommit, outcomeSet{call.Unknown}},
	{"owner killed and key-value service down", repeatedCall, outcomeSet{call.Done, call.Unknown}},
	{"lease lapses, holder goes on", repeatedCall, outcomeSet{call.Done, call.Unknown}},
	{"engine restarts and lease lapses", repeatedCall, outcomeSet{call.Done, call.Unknown}},
	{"entry killed", "", outcomeSet{lost}},
}

func allowedOutcomes(f fault, s step) outcomeSet {
	for _, e := range exceptions {
		if e.fault == f.name && (e.step == "" || e.step == s.name) {
			return e.outcomes
		}
	}
	return outcomeSet{call.Done}
}

// impossibleReason says why a cell cannot occur; it is empty if it can.
func impossibleReason(f fault, s step) string {
	isModelCall := strings.HasPrefix(s.name, "model")
	engineFaults := []string{"engine restarts cold", "load fails", "order reply lost", "engine answers late", "answer crossed", "wrong model", "upstream leaves"}
	startFaults := []string{"load fails", "order reply lost", "answer crossed", "answer cut", "wrong model"}
	switch {
	case f.inject == nil && isModelCall:
		return "a model call meets no plain service"
	case f.inject == nil && s.name == repeatedCall:
		return "the service is not called again"
	case s.name == afterFirstToken && slices.Contains(startFaults, f.name):
		return "happens at the begin of an answer or of a load"
	case !isModelCall && slices.Contains(engineFaults, f.name):
		return "a plain call meets no engine"
	}
	return ""
}

// TestFaultMatrix injects each fault at each step of a call. It compares the
// call's outcome with the allowed ones, checks the records of the stand-ins, and
// checks that the page with the matrix is current.
func TestFaultMatrix(t *testing.T) {
	page := renderFaultsPage()
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
			if impossibleReason(f, s) != "" {
				continue
			}
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				c := newCell(t, f)
				result := s.run(c, f)
				if outcomes := allowedOutcomes(f, s); !slices.Contains(outcomes, result.outcome) || (result.err != nil) != (result.outcome == lost) {
					t.Errorf("outcome %q (error %v), status %d, body %q, want %v", result.outcome, result.err, result.status, result.text, outcomes)
				}
				checkViolations(t, c.Cluster)
			})
		}
	}
}

// renderFaultsPage renders the matrix as the page for operators.
func renderFaultsPage() string {
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
			if why := impossibleReason(f, s); why != "" {
				b.WriteString(" cannot occur: " + why + " |")
				continue
			}
			b.WriteString(" " + allowedOutcomes(f, s).String() + " |")
		}
		b.WriteString("\n")
	}
	b.WriteString(`
## Role gateway

What callers get in the role that runs on the users' platform, and the test in platform/ that injects the fault. CI checks
that these tests exist.

| fault | what callers get | test |
|---|---|---|
`)
	for _, f := range gatewayFaults {
		b.WriteString("| " + f.name + " | " + f.outcome + " | " + f.test + " |\n")
	}
	return b.String()
}

// gatewayFaults are the faults of upstreams and links in the role gateway that callers notice.
var gatewayFaults = []struct{ name, outcome, test string }{
	{"an upstream says in its answers that it leaves", "answers of others; running ones are finished", "TestLeavingStatedInAnswersStopsNewRequests"},
	{"an upstream refuses and asks for a pause", "answers of others", "TestPausingUpstreamGetsNothing"},
	{"all upstreams ask for pauses", "503 at once, to come back after the pauses", "TestRequestsAreRefusedWhileAllUpstreamsPause"},
	{"engines crash on a prompt part", "503 at once for requests with the part, answers for others", "TestRequestsWithCrashingPromptPartStopReachingEngines"},
	{"engines crash under a request that comes again", "503 at once for the request, answers for others", "TestRepeatedRequestThatCrashesEnginesStopsReachingThem"},
	{"the store turns a VM away and serves the others", "answers; once there is a configuration that the VM can't read, answers through other VMs", "TestVMTurnedAwayByTheStoreServesByProofsOfOthers"},
	{"a VM is cut off from the store and all other VMs, where API keys are required and removals of keys are strict", "503 within the bound", "TestVMCutOffFromAllStopsWithinTheBound"},
	{"the store turns all VMs away, in such a deployment", "503 within the bound", "TestVMsWithoutProofsStopWithinTheBound"},
	{"a VM starts without the store, in such a deployment", "503 until its first proof", "TestRestartedVMServesNothingBeforeItsFirstProof"},
	{"a VM loses its links to all upstreams", "answers through other VMs", "TestCallersOfVMsCutOffFromEnginesAreServed"},
	{"an API key is removed while its request waits", "401 before any byte is sent", "TestKeyRemovedWhileTheRequestWaits"},
	{"a VM knows no configuration", "503, not 401", "TestNoConfigurationIsNotTakenForAnUnknownKey"},
	{"a configuration is malformed", "answers by the configuration in force", "TestMalformedConfigurationKeepsTheOneInForce"},
}

func TestFaultsOfRoleGatewayHaveTests(t *testing.T) {
	files, err := filepath.Glob("../../platform/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	var tests strings.Builder
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		tests.Write(text)
	}
	for _, f := range gatewayFaults {
		if !strings.Contains(tests.String(), "func "+f.test+"(") {
			t.Errorf("%s: no test %s", f.name, f.test)
		}
	}
}
