package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/status"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"barleylift": main})
}

// service is the key-value service of one script.
type service struct {
	kv *fake.KV
}

type serviceKey struct{}

// TestScripts runs the command line against a key-value service with the base
// URL $KV.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			kv := fake.NewKV()
			server := httptest.NewServer(kv.Handler())
			env.Defer(server.Close)
			env.Setenv("KV", server.URL)
			env.Values[serviceKey{}] = &service{kv: kv}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"kv":     kvCommand,
			"daemon": daemonCommand,
			"code":   codeCommand,
		},
	})
}

// kvCommand injects faults into the key-value service: lose-head N loses the
// responses to N writes of the head key; down and up stop and restore the service.
func kvCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(serviceKey{}).(*service)
	switch args[0] {
	case "lose-head":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		s.kv.LoseTxnResponses(n, func(txn infra.Txn) bool {
			return len(txn.Then) > 0 && txn.Then[0].Key == catalog.HeadKey
		})
	case "down", "up":
		s.kv.SetDown(args[0] == "down")
	default:
		ts.Fatalf("kv: unknown %q", args[0])
	}
}

// daemonCommand registers a daemon that has applied a generation: daemon NAME
// GENERATION. Use daemon NAME gone for an unreachable daemon.
func daemonCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(serviceKey{}).(*service)
	name, address := args[0], "127.0.0.1:1"
	if args[1] != "gone" {
		generation, err := strconv.ParseUint(args[1], 10, 64)
		ts.Check(err)
		server := httptest.NewServer(statusHandler(status.Daemon{Name: name, Zone: "z1", Generation: generation, Fresh: true, Engines: []string{"e1"}}))
		ts.Defer(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	}
	value, err := json.Marshal(ownership.Member{Name: name, Zone: "z1", EntryAddress: address})
	ts.Check(err)
	_, err = s.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put("members/"+name, value)}})
	ts.Check(err)
}

func statusHandler(daemon status.Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+status.Path, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(daemon)
	})
	return mux
}

// codeCommand runs a program and checks its exit code: code N program args.
func codeCommand(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}
