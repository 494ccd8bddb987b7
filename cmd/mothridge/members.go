package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"mothridge/internal/admin"
	"mothridge/internal/peers"
	"mothridge/internal/registry/merge"
)

type membersCommand struct {
	Socket string `arg:"" help:"The sidecar's admin socket, as its operators' file names it."`
}

// Run asks and prints a table.
func (c *membersCommand) Run() error {
	v, err := askMembers(context.Background(), c.Socket)
	if err != nil {
		return err
	}
	return printMembers(os.Stdout, v)
}

// askMembers asks a page at a time, so that a long list costs the sidecar little.
func askMembers(ctx context.Context, socket string) (*merge.View, error) {
	all := new(merge.View)
	for after := ""; ; {
		var page merge.View
		if err := admin.Ask(ctx, socket, "members?after="+url.QueryEscape(after), &page); err != nil {
			return nil, err
		}
		all.Now, all.Sources, all.Members = page.Now, page.Sources, append(all.Members, page.Members...)
		if len(page.Members) == 0 {
			return all, nil
		}
		after = page.Members[len(page.Members)-1].Addr
	}
}

func printMembers(out io.Writer, v *merge.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "source\tlists\theld though lost\tlast heard\ttrusted")
	for _, s := range v.Sources {
		heard, trusted := "never", "yes"
		if s.Heard > 0 {
			heard = (v.Now - s.Heard).Round(100*time.Millisecond).String() + " ago"
		}
		if s.Reason != "" {
			trusted = "no: " + s.Reason
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", s.Name, s.Live, s.Lost, heard, trusted)
	}
	fmt.Fprintln(w, "\t\t\t\t")
	fmt.Fprintln(w, "address\tnode\tstate\tsite\tcell\twhy")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Addr, m.Name, m.State, m.Site, m.Cell, m.Reason)
		if len(m.Claims) > 1 {
			fmt.Fprintf(w, "\t\t\t\t\t  (%s)\n", strings.Join(m.Claims, "; "))
		}
	}
	return w.Flush()
}

type standinCommand struct {
	Eureka standinEureka `cmd:"" help:"A Eureka registry by its public REST API, on loopback."`
}

type standinEureka struct {
	Address  string        `default:"127.0.0.1:8761" help:"Where to listen, a loopback address."`
	Lease    time.Duration `default:"90s" help:"How long a lease lasts without renewal."`
	Duration time.Duration `default:"1h" help:"It ends by itself after this."`
}

// Run serves until a signal or the end of its time.
func (c *standinEureka) Run() error {
	if !strings.HasPrefix(c.Address, "127.") && !strings.HasPrefix(c.Address, "[::1]") {
		return fmt.Errorf("--address %s: a loopback address is meant: the stand-in asks nobody who he is", c.Address)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	e, err := peers.StartEureka(c.Address)
	if err != nil {
		return err
	}
	defer e.Close()
	e.Lease(c.Lease)
	fmt.Printf("a stand-in Eureka registry at %s for %v\n\n", e.URL(), c.Duration)
	fmt.Printf("register   curl -X POST -H 'Content-Type: application/json' %s/apps/RECORDS -d \\\n", e.URL())
	fmt.Println(`             '{"instance":{"instanceId":"r1","hostName":"127.0.0.1","app":"RECORDS","ipAddr":"127.0.0.1","status":"UP","port":{"$":8080,"@enabled":"true"},"dataCenterInfo":{"name":"MyOwn"}}}'`)
	fmt.Printf("take out   curl -X PUT '%s/apps/RECORDS/r1/status?value=OUT_OF_SERVICE'\n", e.URL())
	fmt.Printf("put back   curl -X DELETE '%s/apps/RECORDS/r1/status?value=UP'\n", e.URL())
	fmt.Printf("look       curl -H 'Accept: application/json' %s/apps\n", e.URL())
	t := time.NewTimer(c.Duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return nil
}
