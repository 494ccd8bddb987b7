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
	Socket string `arg:"" help:"The sidecar's admin socket, as set in its operators' file."`
}

// Run prints a table of the sources and a table of the endpoints.
func (c *membersCommand) Run() error {
	view, err := fetchMembers(context.Background(), c.Socket)
	if err != nil {
		return err
	}
	return printMembers(os.Stdout, view)
}

// fetchMembers reads the list page by page, so that each query of a long list takes the sidecar
// little time.
func fetchMembers(ctx context.Context, socket string) (*merge.View, error) {
	view := new(merge.View)
	for after := ""; ; {
		var page merge.View
		if err := admin.Query(ctx, socket, "members?after="+url.QueryEscape(after), &page); err != nil {
			return nil, err
		}
		view.Now, view.Sources, view.Members = page.Now, page.Sources, append(view.Members, page.Members...)
		if len(page.Members) == 0 {
			return view, nil
		}
		after = page.Members[len(page.Members)-1].Addr
	}
}

func printMembers(out io.Writer, view *merge.View) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "source\tlisted\tlost but retained\tlast response\ttrusted")
	for _, source := range view.Sources {
		lastResponse, trusted := "never", "yes"
		if source.LastResponseAt > 0 {
			lastResponse = (view.Now - source.LastResponseAt).Round(100*time.Millisecond).String() + " ago"
		}
		if source.Reason != "" {
			trusted = "no: " + source.Reason
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", source.Name, source.Live, source.Held, lastResponse, trusted)
	}
	fmt.Fprintln(table, "\t\t\t\t")
	fmt.Fprintln(table, "address\tname\tstate\tzone\tcell\treason")
	for _, member := range view.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n",
			member.Addr, member.Name, member.State, member.Zone, member.Cell, member.Reason)
		if len(member.Claims) > 1 {
			fmt.Fprintf(table, "\t\t\t\t\t  (%s)\n", strings.Join(member.Claims, "; "))
		}
	}
	return table.Flush()
}
