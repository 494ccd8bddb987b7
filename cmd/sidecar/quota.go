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
	Socket string `arg:"" help:"The sidecar's admin socket, as set in its operators' file."`
}

// Run prints the quota tree.
func (c *quotaCommand) Run() error {
	var nodes []quotas.NodeView
	if err := admin.Query(context.Background(), c.Socket, "quotas", &nodes); err != nil {
		return err
	}
	return printQuotas(os.Stdout, nodes)
}

// printQuotas writes one row for each node, indented below its parent, and below that one row for
// each limit of the node.
func printQuotas(out io.Writer, nodes []quotas.NodeView) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "quota\twithin share\tborrowed\trejected\tlent\trepaid\tremaining\tdebts and last rejection")
	for _, node := range nodes {
		indent := strings.Repeat("  ", node.Depth)
		var notes []string
		for _, debt := range node.Debts {
			notes = append(notes, fmt.Sprintf("owes %s %.1f %s", debt.To, debt.Amount, debt.Dimension))
		}
		if node.Rejection != "" {
			notes = append(notes, fmt.Sprintf("rejected %v ago: %s",
				time.Duration(node.SecondsSinceRejection*1e9).Round(100*time.Millisecond), node.Rejection))
		}
		fmt.Fprintf(table, "%s%s\t%d\t%d\t%d\t%d\t%d\t\t%s\n", indent, node.Name, node.Usage.WithinShare,
			node.Usage.Borrowed, node.Usage.Rejected, node.Usage.Lent, node.Usage.Repaid, strings.Join(notes, "; "))
		for _, limit := range node.Limits {
			description := fmt.Sprintf("%g %s per second over %s", limit.Rate, limit.Dimension, limit.Window)
			if limit.Window == "0s" {
				description = fmt.Sprintf("%g in flight", limit.Rate)
			}
			fmt.Fprintf(table, "%s  %s\t\t\t\t\t\t%.1f\t\n", indent, description, limit.Tokens)
		}
	}
	return table.Flush()
}
