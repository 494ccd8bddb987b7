package try

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	lineInterval   = time.Second
	redrawInterval = 250 * time.Millisecond
)

// showProgress prints the progress until ctx ends: one line per second or, if Live is set, the table
// redrawn in place. At the end it erases the table.
func (d *demo) showProgress(ctx context.Context) {
	interval := lineInterval
	if d.Live {
		interval = redrawInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	drawnLines := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.eraseLines(drawnLines)
			return
		}
		if !d.Live {
			fmt.Fprintln(d.Out, d.progressLine())
			continue
		}
		d.eraseLines(drawnLines)
		table := d.table()
		drawnLines = strings.Count(table, "\n")
		fmt.Fprint(d.Out, table)
	}
}

// eraseLines moves the terminal's cursor up by count lines and erases everything below the cursor.
func (d *demo) eraseLines(count int) {
	if count > 0 {
		fmt.Fprintf(d.Out, "\x1b[%dA\x1b[J", count)
	}
}

// progressLine returns a line with the totals and the upstreams that are not up.
func (d *demo) progressLine() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []string
	for i, state := range d.states {
		if state != "up" {
			changed = append(changed, d.rig.Nodes[i].Name+" "+state)
		}
	}
	total := &d.total
	return fmt.Sprintf("%4.0f s  served %6d  refused %4d  failed %4d  p50 %6s  p99 %6s  %s",
		time.Since(d.startedAt).Seconds(), total.served, total.rejected, total.failed,
		milliseconds(total.quantile(0.5)), milliseconds(total.quantile(0.99)), strings.Join(changed, ", "))
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func (d *demo) printTable() { fmt.Fprint(d.Out, "\n"+d.table()) }

// table returns a row for each upstream, and the totals.
func (d *demo) table() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out strings.Builder
	fmt.Fprintf(&out, "%-12s %-9s %7s %7s %9s %10s %10s\n",
		"node", "is", "sends", "served", "in flight", "p50", "p99")
	for i, upstream := range d.rig.Nodes {
		tally := d.byUpstream[upstream.Name]
		fmt.Fprintf(&out, "%-12s %-9s %7d %7d %9d %10s %10s\n",
			upstream.Name, d.states[i], len(d.rig.Ledger.AttemptTimes(upstream.Name)),
			tally.served, upstream.InFlight(),
			milliseconds(tally.quantile(0.5)), milliseconds(tally.quantile(0.99)))
	}
	total := &d.total
	fmt.Fprintf(&out, "\nserved %d  refused %d  failed %d  lost %d  p50 %s  p99 %s  after %.1f s\n",
		total.served, total.rejected, total.failed, total.lost,
		milliseconds(total.quantile(0.5)), milliseconds(total.quantile(0.99)),
		time.Since(d.startedAt).Seconds())
	return out.String()
}
