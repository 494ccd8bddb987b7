package fleet

import (
	"fmt"
	"time"

	"mothridge/policy"
	"mothridge/quota"
)

// quotas makes a sidecar's tree: its part of the whole; nil where there is none.
func (s *Scenario) quotas() (*quota.Tree, error) {
	q := &s.Quotas
	if q.Part == 0 {
		return nil, nil
	}
	windows := q.Windows
	if len(windows) == 0 {
		windows = []time.Duration{time.Second, 10 * time.Second}
	}
	c := quota.Config{LenderReserve: q.Reclaim, RepaymentShare: q.Repay, DebtLifetime: q.DebtAge}
	node := func(name, parent string, rate, weight float64) {
		n := quota.Node{Name: name, Parent: parent, Weight: weight}
		for _, w := range windows {
			l := quota.Limit{Dimension: quota.Requests, Rate: rate * q.Part, Window: max(w, time.Duration(float64(time.Second)/(rate*q.Part)))} // one fits, at least
			if !q.Lends {
				l.Ceiling = l.Rate
			}
			n.Limits = append(n.Limits, l)
		}
		c.Nodes = append(c.Nodes, n)
	}
	whole := 0.0
	for _, t := range s.Tenants {
		whole += t.Quota
	}
	node("all", "", whole, 1)
	for i, t := range s.Tenants {
		node(tenantNode(i), "all", t.Quota, t.Share)
	}
	return quota.New(c)
}

func tenantNode(i int) string { return fmt.Sprint("tenant-", i) }

// within has the quotas decide on a try; false: it was refused.
func (c *sidecar) within(x *request) bool {
	if c.quota == nil {
		return true
	}
	d := c.quota.Admit(c.time(), quota.Request{Node: tenantNode(x.tenant), Cost: quota.Cost{quota.Requests: 1}, Retry: x.try > 1})
	if d.Outcome != quota.Rejected {
		x.receipt = d.Receipt
		return true
	}
	pause := d.RetryAfter
	if most := c.s.Clients.MaxPause; most > 0 {
		pause = min(pause, most)
	}
	c.Reject(x.id, max(pause, 10*time.Millisecond))
	return false
}

// spent gives a try's charge back where it never ran, and ends it otherwise.
func (c *sidecar) spent(x *request, ending policy.AttemptResult) {
	if c.quota == nil || x.receipt == nil {
		return
	}
	if ending == policy.Rejected {
		c.quota.Refund(x.receipt)
	} else {
		c.quota.Release(x.receipt)
	}
}
