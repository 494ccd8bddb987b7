// Interop puts clients and libraries that others wrote against the real program,
// started as a process of its own among the project's stand-ins, and counts what
// came of each request. It is a module of its own, so that the program depends on
// none of them.
//
//	cd interop && go run .
//
// It ends with 1 where a count or a rule is not what it should be.
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

// scenario is one client or library.
type scenario struct {
	name string
	run  func(ctx context.Context, w *world, t *tally) error
}

var scenarios = []scenario{
	{"net/http", netHTTP},
	{"fasthttp", fastHTTP},
	{"net/rpc with ugorji/go/codec, errors as texts", ugorji},
	{"vmihailenco/msgpack, errors as maps", vmihailencoMaps},
	{"vmihailenco/msgpack, errors as texts", vmihailencoTexts},
	{"hudl/fargo, JSON", fargoJSON},
	{"hudl/fargo, XML", fargoXML},
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

// run plays every scenario against one sidecar and prints a table.
func run(ctx context.Context) (passed, failed int, err error) {
	w, err := startWorld(ctx)
	if err != nil {
		return 0, 0, err
	}
	defer w.close()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "client\tasked\tserved\trefused\tfailed\trejected\tabandoned\tlost\tseconds")
	var wrong []string
	for _, s := range scenarios {
		t := new(tally)
		began := time.Now()
		err := s.run(ctx, w, t)
		if err == nil {
			err = t.check()
		}
		if err == nil {
			err = w.doubled()
		}
		c := t.counts()
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n",
			s.name, c[asked], c[served], c[refused], c[failedOnce], c[rejected], c[abandoned], c[lost], time.Since(began).Seconds())
		if passed++; err != nil {
			passed--
			failed++
			wrong = append(wrong, fmt.Sprintf("%s: %v", s.name, err))
		}
	}
	table.Flush()
	for _, line := range wrong {
		fmt.Println(line)
	}
	if err := w.stop(); err != nil {
		return passed, failed, err
	}
	return passed, failed, nil
}
