package try

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"mothridge/internal/rig"
)

// draw shows how the day goes, until ctx ends.
func (d *day) draw(ctx context.Context) {
	every := time.Second
	if d.Live {
		every = 250 * time.Millisecond
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	drawn := 0
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			if drawn > 0 {
				fmt.Fprintf(d.Out, "\x1b[%dA\x1b[J", drawn) // the last table takes its place
			}
			return
		}
		if !d.Live {
			fmt.Fprintln(d.Out, d.line())
			continue
		}
		if drawn > 0 {
			fmt.Fprintf(d.Out, "\x1b[%dA\x1b[J", drawn)
		}
		text := d.text()
		drawn = strings.Count(text, "\n")
		fmt.Fprint(d.Out, text)
	}
}

// line is the day so far in one line.
func (d *day) line() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var happens []string
	for i, s := range d.state {
		if s != "up" {
			happens = append(happens, d.rig.Nodes[i].Name+" "+s)
		}
	}
	return fmt.Sprintf("%4.0f s  served %6d  refused %4d  failed %4d  p50 %6s  p99 %6s  %s", time.Since(d.began).Seconds(), d.total.served,
		d.total.refused, d.total.failed, show(quantile(d.total.took, 0.5)), show(quantile(d.total.took, 0.99)), strings.Join(happens, ", "))
}

func show(t time.Duration) string { return fmt.Sprintf("%.1f ms", float64(t)/1e6) }

func (d *day) table() { fmt.Fprint(d.Out, "\n"+d.text()) }

// text is the table.
func (d *day) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-9s %7s %7s %9s %10s %10s\n", "node", "is", "sends", "served", "in flight", "p50", "p99")
	for i, n := range d.rig.Nodes {
		t := d.byNode[n.Name]
		fmt.Fprintf(&b, "%-12s %-9s %7d %7d %9d %10s %10s\n", n.Name, d.state[i], len(d.rig.Ledger.AttemptTimes(n.Name)), t.served, n.InFlight(),
			show(quantile(t.took, 0.5)), show(quantile(t.took, 0.99)))
	}
	fmt.Fprintf(&b, "\nserved %d  refused %d  failed %d  lost %d  p50 %s  p99 %s  after %.1f s\n", d.total.served, d.total.refused,
		d.total.failed, d.total.lost, show(quantile(d.total.took, 0.5)), show(quantile(d.total.took, 0.99)), time.Since(d.began).Seconds())
	return b.String()
}

// verdict checks the four rules and says how each did.
func (d *day) verdict() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, what := range d.rig.Ledger.ExecutedTwice(func(id string) bool { return strings.HasPrefix(id, rig.Once) }) {
		d.breach("2 (no effect twice)", what)
	}
	if late := after(d.rig.Ledger.AttemptTimes(d.rig.Nodes[drained].Name), d.drainAt.Add(rig.DrainWithin+slack)); late > 0 {
		d.breach("3 (drains kept)", fmt.Sprintf("%d requests were sent to %s later than %v after it drained", late, d.rig.Nodes[drained].Name, rig.DrainWithin))
	}
	if how := d.pushedOver(); how != "" {
		d.breach("4 (no cold server pushed over)", how)
	}
	for i, rule := range []string{"one final answer before the deadline", "no effect twice", "drains kept", "no cold server pushed over"} {
		result := "kept"
		for _, b := range d.broken {
			if strings.HasPrefix(b, fmt.Sprintf("rule %d ", i+1)) {
				result = "BROKEN"
			}
		}
		fmt.Fprintf(d.Out, "rule %d  %-38s %s\n", i+1, rule, result)
	}
	if len(d.broken) == 0 {
		return nil
	}
	const most = 10
	for _, b := range d.broken[:min(most, len(d.broken))] {
		fmt.Fprintln(d.Out, b)
	}
	return errors.New("a rule was broken")
}

// after counts the times that are later than a moment.
func after(times []time.Time, moment time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(moment) {
			n++
		}
	}
	return n
}

// pushedOver looks for a window in which the cold node was sent more than it
// could bear: the multiple of its capacity at that time, with three standard
// deviations of such a count for chance.
func (d *day) pushedOver() string {
	if d.coldAt.IsZero() {
		return ""
	}
	capacity := crowded * float64(d.Rate) / nodes // a second, when warm
	var sends []time.Time
	for _, t := range d.rig.Ledger.AttemptTimes(d.rig.Nodes[cold].Name) {
		if t.After(d.coldAt) {
			sends = append(sends, t)
		}
	}
	for i, first := range sends {
		n := 0
		for _, t := range sends[i:] {
			if t.Sub(first) < fallWindow {
				n++
			}
		}
		warm := min(1, coldFrom+(1-coldFrom)*float64(first.Sub(d.coldAt))/float64(coldFor))
		if budget := fallMultiple * warm * capacity * fallWindow.Seconds(); float64(n) > budget+3*math.Sqrt(budget) {
			return fmt.Sprintf("%s was sent %d requests within %v, %v after its start; %.0f was its budget",
				d.rig.Nodes[cold].Name, n, fallWindow, first.Sub(d.coldAt).Round(time.Millisecond), budget)
		}
	}
	return ""
}
