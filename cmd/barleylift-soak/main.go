// Command barleylift-soak runs the program under test as several processes,
// injects external faults and checks the guarantees that callers and upstreams
// can observe. If a guarantee is violated, it exits with 1 and keeps the logs.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/barleylift/barleylift/platform/soak"
	"github.com/integrii/flaggy"
)

func main() {
	os.Exit(run())
}

// runDaemon runs a daemon whose links the soak cuts.
func runDaemon() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := soak.RunDaemon(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "barleylift-soak daemon:", err)
		return 1
	}
	return 0
}

func run() int {
	if len(os.Args) == 2 && os.Args[1] == "daemon" {
		return runDaemon()
	}
	options := soak.Options{Binary: "target/barleylift", Seed: rand.Uint64N(1 << 32), Duration: 20 * time.Second, Daemons: 4, Out: os.Stdout}
	flaggy.SetName("barleylift-soak")
	flaggy.SetDescription("Runs the program under injected faults and checks its guarantees.")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.UInt64(&options.Seed, "", "seed", "Seed of the fault sequence.")
	flaggy.Duration(&options.Duration, "", "for", "How long to inject faults.")
	flaggy.Int(&options.Daemons, "", "processes", "Number of daemon processes.")
	flaggy.String(&options.Scenario, "", "scenario", "One kind of trouble in place of random faults: backlog, crashing-part, crashing-request, cut-off, endless, former-owner, fragile, pausing, planned-stop, release, repeats, upgrade or versions.")
	flaggy.String(&options.Binary, "", "binary", "The program under test.")
	flaggy.String(&options.FormerBinary, "", "former-binary", "A build of an earlier commit, which some VMs run; the scenario upgrade begins with it.")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var err error
	if options.LinkBinary, err = os.Executable(); err != nil {
		fmt.Fprintln(os.Stderr, "barleylift-soak:", err)
		return 1
	}
	if options.Dir, err = os.MkdirTemp("", "barleylift-soak-"); err != nil {
		fmt.Fprintln(os.Stderr, "barleylift-soak:", err)
		return 1
	}
	fmt.Printf("seed %d, %d processes, %v, logs in %s\n", options.Seed, options.Daemons, options.Duration, options.Dir)
	result, err := soak.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "barleylift-soak:", err)
		return 1
	}
	fmt.Printf("seed %d: %d faults, %d requests (%d served, %d refused), %d runs, %d promises broken\n",
		options.Seed, result.Faults, result.Requests, result.Served, result.Refused, result.Runs, len(result.Violations))
	for _, violation := range result.Violations {
		fmt.Println("BROKEN:", violation)
	}
	if len(result.Violations) > 0 {
		return 1
	}
	if err := os.RemoveAll(options.Dir); err != nil {
		fmt.Fprintln(os.Stderr, "barleylift-soak: remove logs:", err)
	}
	return 0
}
