package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"mothridge/internal/admin"
	"mothridge/internal/registry/merge"
)

type membersCommand struct {
	Socket string `arg:"" help:"The sidecar's admin socket, as its operators' file names it."`
}

// Run prints a table of sources and endpoints.
func (c *membersCommand) Run() error {
	v, err := fetchMembers(context.Background(), c.Socket)
	if err != nil {
		return err
	}
	return printMembers(os.Stdout, v)
}

// fetchMembers reads the list a page at a time, so that a long one costs the sidecar little.
func fetchMembers(ctx context.Context, socket string) (*merge.View, error) {
	all := new(merge.View)
	for after := ""; ; {
		var page merge.View
		if err := admin.Query(ctx, socket, "members?after="+url.QueryEscape(after), &page); err != nil {
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
		lastResponse, trusted := "never", "yes"
		if s.LastResponseAt > 0 {
			lastResponse = (v.Now - s.LastResponseAt).Round(100*time.Millisecond).String() + " ago"
		}
		if s.Reason != "" {
			trusted = "no: " + s.Reason
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", s.Name, s.Live, s.Held, lastResponse, trusted)
	}
	fmt.Fprintln(w, "\t\t\t\t")
	fmt.Fprintln(w, "address\tnode\tstate\tsite\tcell\twhy")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Addr, m.Name, m.State, m.Zone, m.Cell, m.Reason)
		if len(m.Claims) > 1 {
			fmt.Fprintf(w, "\t\t\t\t\t  (%s)\n", strings.Join(m.Claims, "; "))
		}
	}
	return w.Flush()
}
