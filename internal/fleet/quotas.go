package fleet

import (
	"fmt"
	"time"

	"mothridge/policy"
	"mothridge/quota"
)

// quotas makes a sidecar's tree: its part of the whole; nil where there is none.
func (s *Scenario) newQuotaTree() (*quota.Tree, error) {
	q := &s.Quotas
	if q.SidecarShare == 0 {
		return nil, nil
	}
	windows := q.Windows
	if len(windows) == 0 {
		windows = []time.Duration{time.Second, 10 * time.Second}
	}
	c := quota.Config{LenderReserve: q.LenderReserve, RepaymentShare: q.RepaymentShare, DebtLifetime: q.DebtLifetime}
	node := func(name, parent string, rate, weight float64) {
		n := quota.Node{Name: name, Parent: parent, Weight: weight}
		for _, w := range windows {
			l := quota.Limit{Dimension: quota.Requests, Rate: rate * q.SidecarShare, Window: max(w, time.Duration(float64(time.Second)/(rate*q.SidecarShare)))} // one fits, at least
			if !q.LendingAllowed {
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
		node(tenantQuotaName(i), "all", t.Quota, t.Share)
	}
	return quota.New(c)
}

func tenantQuotaName(i int) string { return fmt.Sprint("tenant-", i) }

// within has the quotas decide on a try; false: it was refused.
func (c *sidecar) admitByQuota(x *submission) bool {
	if c.quotaTree == nil {
		return true
	}
	d := c.quotaTree.Admit(c.clockTime(), quota.Request{Node: tenantQuotaName(x.tenant), Cost: quota.Cost{quota.Requests: 1}, Retry: x.number > 1})
	if d.Outcome != quota.Rejected {
		x.receipt = d.Receipt
		return true
	}
	pause := d.RetryAfter
	if most := c.scenario.Clients.MaxRetryAfter; most > 0 {
		pause = min(pause, most)
	}
	c.Reject(x.id, max(pause, 10*time.Millisecond))
	return false
}

// spent gives a try's charge back where it never ran, and ends it otherwise.
func (c *sidecar) settleQuota(x *submission, ending policy.AttemptResult) {
	if c.quotaTree == nil || x.receipt == nil {
		return
	}
	if ending == policy.Rejected {
		c.quotaTree.Refund(x.receipt)
	} else {
		c.quotaTree.Release(x.receipt)
	}
}
