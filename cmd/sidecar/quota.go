package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"mothridge/internal/admin"
	"mothridge/internal/quotas"
)

type quotaCommand struct {
	Socket string `arg:"" help:"The sidecar's admin socket, as its operators' file names it."`
}

// Run prints the tree of quotas.
func (c *quotaCommand) Run() error {
	var nodes []quotas.NodeView
	if err := admin.Query(context.Background(), c.Socket, "quotas", &nodes); err != nil {
		return err
	}
	return printQuotas(os.Stdout, nodes)
}

// printQuotas writes a row for each node, below its parent, and one for each of
// its limits.
func printQuotas(out io.Writer, nodes []quotas.NodeView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "quota\town\tborrowed\trefused\tlent\trepaid\tleft\towes, and why it last refused")
	for _, n := range nodes {
		indent := strings.Repeat("  ", n.Depth)
		var notes []string
		for _, o := range n.Debts {
			notes = append(notes, fmt.Sprintf("owes %s %.1f %s", o.To, o.Amount, o.Dimension))
		}
		if n.Rejection != "" {
			notes = append(notes, fmt.Sprintf("%v ago: %s", time.Duration(n.RejectedAgo*1e9).Round(100*time.Millisecond), n.Rejection))
		}
		fmt.Fprintf(w, "%s%s\t%d\t%d\t%d\t%d\t%d\t\t%s\n", indent, n.Name, n.Usage.WithinShare, n.Usage.Borrowed, n.Usage.Rejected, n.Usage.Lent, n.Usage.Repaid, strings.Join(notes, "; "))
		for _, l := range n.Limits {
			what := fmt.Sprintf("%g %s a second over %s", l.Rate, l.Dimension, l.Window)
			if l.Window == "0s" {
				what = fmt.Sprintf("%g at once", l.Rate)
			}
			fmt.Fprintf(w, "%s  %s\t\t\t\t\t\t%.1f\t\n", indent, what, l.Left)
		}
	}
	return w.Flush()
}
