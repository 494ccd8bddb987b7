// Interop tests clients and libraries of other authors against the real sidecar,
// which runs as a separate process with the project's stand-ins as its nodes and
// registry. It counts the outcome of each request. Interop is a separate module so
// that the sidecar depends on none of these clients.
//
//	cd interop && go run .
//
// The exit code is 1 if a count or a check is wrong.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"
)

// scenario is the test of one client or library.
type scenario struct {
	name string
	run  func(ctx context.Context, env *environment, t *tally) error
}

var clientScenarios = []scenario{
	{"net/http", runNetHTTP},
	{"fasthttp", runFastHTTP},
	{"net/rpc with ugorji/go/codec, errors as texts", runUgorji},
	{"vmihailenco/msgpack, errors as maps", runVmihailencoMaps},
	{"vmihailenco/msgpack, errors as texts", runVmihailencoTexts},
	{"hudl/fargo, JSON", runFargoJSON},
	{"hudl/fargo, XML", runFargoXML},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	passed, failed, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "interop:", err)
		os.Exit(1)
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// run runs all scenarios against one sidecar and prints a table of their counts.
func run(ctx context.Context) (passed, failed int, err error) {
	env, err := startEnvironment(ctx)
	if err != nil {
		return 0, 0, err
	}
	defer env.close()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "client\tsent\tserved\trefused\tfailed\trejected\tabandoned\tlost\tseconds")
	var failures []string
	for _, s := range clientScenarios {
		t := new(tally)
		startedAt := time.Now()
		err := s.run(ctx, env, t)
		if err == nil {
			err = t.check()
		}
		if err == nil {
			err = env.checkExecutedOnce()
		}
		totals := t.counts()
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n",
			s.name, totals[sent], totals[served], totals[rejected], totals[requestFailed], totals[invalidRequest], totals[abandoned], totals[lost],
			time.Since(startedAt).Seconds())
		if passed++; err != nil {
			passed--
			failed++
			failures = append(failures, fmt.Sprintf("%s: %v", s.name, err))
		}
	}
	table.Flush()
	for _, line := range failures {
		fmt.Println(line)
	}
	if err := env.stop(); err != nil {
		return passed, failed, err
	}
	return passed, failed, nil
}
