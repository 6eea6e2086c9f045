package locator

import (
	"testing"

	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/topology"
)

// A version that an engine has had lately still counts after the engine is gone or has
// started again with another one. A registration older than what the owner knows
// states none.
func TestSoftwareVersionsOfEnginesThatHaveLeftCount(t *testing.T) {
	o := newOwner(t)
	register := func(id, version string, incarnation int64) {
		o.locator.SetUpstream(engine(id, func(u *topology.Upstream) { u.SoftwareVersion, u.Incarnation = version, incarnation }))
	}
	check := func(step, want string) {
		t.Helper()
		versions, known := o.locator.SoftwareVersions("lm")
		if ok := known && len(versions) == 1; ok != (want != "") || ok && versions[0] != want {
			t.Errorf("%s: %q, %t; want %q", step, versions, known, want)
		}
	}
	check("no engine", "")
	register("a", "v1", 1)
	register("b", "v1", 1)
	check("one version", "v1")
	if got := o.locator.SoftwareVersion("a", 1); got != "v1" {
		t.Errorf("version %q of the current process", got)
	}
	if got := o.locator.SoftwareVersion("a", 2); got != "" {
		t.Errorf("version %q of another process", got)
	}
	register("b", "v2", 2)
	o.locator.RemoveUpstream("a")
	check("the last engine of v1 has just left", "")
	if n := len(o.locator.Engines(Need{Service: "lm", Adapter: climb, SoftwareVersion: "v2"}, nil)); n != 1 {
		t.Errorf("%d engines of v2", n)
	}
	o.locator.ApplyState(orders.EngineState{Engine: "b", Incarnation: 3})
	if n := len(o.locator.Engines(Need{Service: "lm", Adapter: climb, SoftwareVersion: "v2"}, nil)); n != 0 {
		t.Error("the version of an earlier process counts as that of its successor")
	}
}
