package fleet

import (
	"fmt"
	"time"

	"mothridge/policy"
	"mothridge/quota"
)

const (
	rootQuotaName = "all"
	// minQuotaRetryAfter is the shortest Retry-After of a submission that the quotas reject.
	minQuotaRetryAfter = 10 * time.Millisecond
)

var defaultQuotaWindows = []time.Duration{time.Second, 10 * time.Second}

// newQuotaTree returns a sidecar's quota tree; nil if the scenario has no quotas.
func (scenario *Scenario) newQuotaTree() (*quota.Tree, error) {
	quotas := &scenario.Quotas
	if quotas.SidecarShare == 0 {
		return nil, nil
	}
	total := 0.0
	for _, tenant := range scenario.Tenants {
		total += tenant.Quota
	}
	root := quota.Node{Name: rootQuotaName, Weight: 1, Limits: quotas.limits(total)}
	config := quota.Config{
		LenderReserve:  quotas.LenderReserve,
		RepaymentShare: quotas.RepaymentShare,
		DebtLifetime:   quotas.DebtLifetime,
		Nodes:          []quota.Node{root},
	}
	for i, tenant := range scenario.Tenants {
		config.Nodes = append(config.Nodes, quota.Node{
			Name:   tenantQuotaName(i),
			Parent: rootQuotaName,
			Weight: tenant.Share,
			Limits: quotas.limits(tenant.Quota),
		})
	}
	return quota.New(config)
}

// limits returns a limit for each window. A window that is too short for one request is lengthened until one fits.
func (quotas *Quotas) limits(rate float64) []quota.Limit {
	windows := quotas.Windows
	if len(windows) == 0 {
		windows = defaultQuotaWindows
	}
	sidecarRate := rate * quotas.SidecarShare
	var limits []quota.Limit
	for _, window := range windows {
		shortest := time.Duration(float64(time.Second) / sidecarRate)
		limit := quota.Limit{Dimension: quota.Requests, Rate: sidecarRate, Window: max(window, shortest)}
		if !quotas.LendingAllowed {
			limit.Ceiling = limit.Rate
		}
		limits = append(limits, limit)
	}
	return limits
}

func tenantQuotaName(tenant int) string { return fmt.Sprint("tenant-", tenant) }

// admitByQuota reports whether the quotas admit a submission, and rejects the submission if they do not.
func (sidecar *sidecar) admitByQuota(submission *submission) bool {
	if sidecar.quotaTree == nil {
		return true
	}
	decision := sidecar.quotaTree.Admit(sidecar.clockTime(), quota.Request{
		Node:  tenantQuotaName(submission.tenant),
		Cost:  quota.Cost{quota.Requests: 1},
		Retry: submission.number > 1,
	})
	if decision.Outcome != quota.Rejected {
		submission.receipt = decision.Receipt
		return true
	}
	retryAfter := decision.RetryAfter
	if longest := sidecar.scenario.Clients.MaxRetryAfter; longest > 0 {
		retryAfter = min(retryAfter, longest)
	}
	sidecar.Reject(submission.id, max(retryAfter, minQuotaRetryAfter))
	return false
}

// settleQuota refunds the quota charge of a rejected submission, and releases the charge of a failed submission.
func (sidecar *sidecar) settleQuota(submission *submission, result policy.AttemptResult) {
	if sidecar.quotaTree == nil || submission.receipt == nil {
		return
	}
	if result == policy.Rejected {
		sidecar.quotaTree.Refund(submission.receipt)
	} else {
		sidecar.quotaTree.Release(submission.receipt)
	}
}
