// Command barleylift-soak runs the real program as several processes, injects
// faults from outside and checks what callers and upstreams see. It exits with
// 1 if a promise was broken; the logs are kept then.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"time"

	"github.com/barleylift/barleylift/platform/soak"
	"github.com/integrii/flaggy"
)

func main() {
	os.Exit(run())
}

func run() int {
	options := soak.Options{Binary: "target/barleylift", Seed: rand.Uint64N(1 << 32), Duration: 20 * time.Second, Daemons: 4, Out: os.Stdout}
	flaggy.SetName("barleylift-soak")
	flaggy.SetDescription("Soaks the real program in faults and checks its promises.")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.UInt64(&options.Seed, "", "seed", "Seed of the faults.")
	flaggy.Duration(&options.Duration, "", "for", "How long faults go on.")
	flaggy.Int(&options.Daemons, "", "processes", "Number of daemons.")
	flaggy.String(&options.Binary, "", "binary", "The program under test.")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var err error
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
	for _, broken := range result.Violations {
		fmt.Println("BROKEN:", broken)
	}
	if len(result.Violations) > 0 {
		return 1
	}
	if err := os.RemoveAll(options.Dir); err != nil {
		fmt.Fprintln(os.Stderr, "barleylift-soak: logs not removed:", err)
	}
	return 0
}
